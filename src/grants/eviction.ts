import { MIN_RESIDENCY_MS } from './constants.ts';
import { isAdapterInUse } from './pins.ts';
import type { Popularity } from './popularity.ts';
import type { OwnedEngine, Resident } from './types.ts';

/**
 * Returns the resident with the lowest expected miss cost, or the lowestValue recently used of equal
 * ones. Residents that are in use, kept warm, requested in the queue or loaded recently are no
 * candidates; undefined when none is left. An urgent load ignores queued requests that are not
 * urgent.
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
