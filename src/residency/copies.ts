import type { Popularity } from '../grants/popularity.ts';
import type { EngineClass } from '../routes/types.ts';
import type { AdapterCopy, EngineResidency } from './types.ts';

/** Returns the adapters that fit on an engine beside its base models. */
export function getSlotLimit(engine: EngineClass, models: ReadonlySet<string>): number {
  const held = engine.models.filter(({ name }) => models.has(name));
  const largest = Math.max(0, ...held.map(({ adapterMb }) => adapterMb));
  if (largest === 0) return engine.adapterSlots;
  const rest = engine.weightsMb - held.reduce((sum, { weightsMb }) => sum + weightsMb, 0);
  return Math.max(0, Math.min(engine.adapterSlots, Math.floor(rest / largest)));
}

/** Whether a copy may serve a request that wants at least `version`. */
export function canServeVersion(copy: AdapterCopy, version: number): boolean {
  if (copy.phase !== 'resident') return false;
  return version === 0 || (copy.version ?? 0) >= version;
}

/** Returns how many copies are on their way to an engine. */
export function countLoading(owned: EngineResidency): number {
  let count = 0;
  for (const { phase } of owned.copies.values()) if (phase === 'loading') count += 1;
  return count;
}

/**
 * Returns the copy that makes way for another adapter: one that no request uses and no waiting ask
 * wants, the least popular, and of equal ones the least recently used. Undefined when there is none.
 */
export function getEvictableCopy(
  owned: EngineResidency,
  popularity: Popularity,
  now: number,
): AdapterCopy | undefined {
  const wanted = new Set(owned.queue.map(({ adapter }) => adapter));
  let victim: AdapterCopy | undefined;
  let least = Infinity;
  for (const copy of owned.copies.values()) {
    if (copy.phase !== 'resident' || copy.reservations > 0 || wanted.has(copy.adapter)) continue;
    // An unload would wait for it, and meanwhile the engine takes no other order.
    if (copy.busyUntil > now) continue;
    const value = popularity.getValue(copy.adapter, now);
    if (value > least || (value === least && copy.lastUsedAt >= (victim?.lastUsedAt ?? 0)))
      continue;
    victim = copy;
    least = value;
  }
  return victim;
}

/** Returns the slots that are free or hold a copy that no request uses. */
export function countOpenSlots(owned: EngineResidency, limit: number): number {
  let used = 0;
  for (const { phase, reservations: places } of owned.copies.values()) {
    if (phase !== 'resident' || places > 0) used += 1;
  }
  return limit - used;
}
