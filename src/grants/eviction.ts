import { MIN_RESIDENCY_MS } from './constants.ts';
import { isInUse } from './pins.ts';
import type { OwnedEngine, Resident } from './types.ts';

/** Returns the resident whose eviction costs least; undefined while each one is in use or new. */
export function getVictim(owned: OwnedEngine, now: number): Resident | undefined {
  return [...owned.residents.values()]
    .filter(({ model, loadedAt }) => !isInUse(owned, model) && loadedAt + MIN_RESIDENCY_MS <= now)
    .sort((a, b) => a.lastUsedAt - b.lastUsedAt)[0];
}
