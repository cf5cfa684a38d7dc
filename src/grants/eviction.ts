import { MIN_RESIDENCY_MS } from './constants.ts';
import { isAdapterInUse } from './pins.ts';
import type { Popularity } from './popularity.ts';
import type { OwnedEngine, Resident } from './types.ts';

/**
 * Returns the resident with the lowest expected miss cost, and of equal ones the least recently
 * used. It is never in use, kept warm, loaded recently or needed by a queued request; for an urgent
 * load, only urgent requests count. Undefined when there is no such resident.
 */
export function getEvictionCandidate(
  owned: OwnedEngine,
  popularity: Popularity,
  isUrgent: boolean,
  now: number,
): Resident | undefined {
  const requested = new Set(
    owned.queue.filter(({ kind }) => !isUrgent || kind === 'urgent').map(({ model }) => model),
  );
  let victim: Resident | undefined;
  let lowestValue = Infinity;
  for (const resident of owned.residents.values()) {
    const { model, loadedAt } = resident;
    if (isAdapterInUse(owned, model) || requested.has(model) || owned.warmModels.has(model))
      continue;
    if (loadedAt + MIN_RESIDENCY_MS > now) continue;
    const value = popularity.getValue(model, now);
    if (value > lowestValue) continue;
    if (value === lowestValue && victim !== undefined && resident.lastUsedAt >= victim.lastUsedAt)
      continue;
    victim = resident;
    lowestValue = value;
  }
  return victim;
}
