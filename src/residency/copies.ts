import type { Popularity } from '../grants/popularity.ts';
import type { EngineClass } from '../routes/types.ts';
import { EXPECTED_LOAD_MS } from './constants.ts';
import type { AdapterCopy, EngineResidency } from './types.ts';

/** Returns the number of adapters that fit on an engine beside its base models. */
export function getSlotLimit(engine: EngineClass, models: ReadonlySet<string>): number {
  const loaded = engine.models.filter(({ name }) => models.has(name));
  const largestAdapterMb = Math.max(0, ...loaded.map(({ adapterMb }) => adapterMb));
  if (largestAdapterMb === 0) return engine.adapterSlots;
  const freeMb = engine.weightsMb - loaded.reduce((sum, { weightsMb }) => sum + weightsMb, 0);
  return Math.max(0, Math.min(engine.adapterSlots, Math.floor(freeMb / largestAdapterMb)));
}

/** Whether a copy is resident in at least `version`; 0 accepts any version. */
export function canServeVersion(copy: AdapterCopy, version: number): boolean {
  if (copy.phase !== 'resident') return false;
  return version === 0 || (copy.version ?? 0) >= version;
}

/** Returns the expected time until a copy is resident, in ms; undefined if no load of it has begun. */
export function getLoadLeftMs(copy: AdapterCopy | undefined, now: number): number | undefined {
  if (copy?.phase === 'resident') return 0;
  if (copy?.phase === 'loading') return Math.max(0, copy.orderedAt + EXPECTED_LOAD_MS - now);
  return undefined;
}

/** Returns the number of copies that are loading on an engine. */
export function countLoading(owned: EngineResidency): number {
  let count = 0;
  for (const { phase } of owned.copies.values()) if (phase === 'loading') count += 1;
  return count;
}

/**
 * Returns the copy to evict for another adapter: the least popular one, or among equally popular
 * ones the least recently used, that has no reservations and is not needed by the queue.
 */
export function getEvictableCopy(
  owned: EngineResidency,
  popularity: Popularity,
  now: number,
): AdapterCopy | undefined {
  const wanted = new Set(owned.queue.map(({ adapter }) => adapter));
  let candidate: AdapterCopy | undefined;
  let lowest = Infinity;
  for (const copy of owned.copies.values()) {
    if (copy.phase !== 'resident' || copy.reservations > 0 || wanted.has(copy.adapter)) continue;
    // A cancelled request may still run; an unload would wait for it and block other orders.
    if (copy.busyUntil > now) continue;
    const value = popularity.getValue(copy.adapter, now);
    if (value > lowest || (value === lowest && copy.lastUsedAt >= (candidate?.lastUsedAt ?? 0)))
      continue;
    candidate = copy;
    lowest = value;
  }
  return candidate;
}

/** Returns the number of slots that are free or hold a copy without reservations. */
export function countOpenSlots(owned: EngineResidency, limit: number): number {
  let used = 0;
  for (const { phase, reservations } of owned.copies.values()) {
    if (phase !== 'resident' || reservations > 0) used += 1;
  }
  return limit - used;
}
