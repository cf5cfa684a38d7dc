import { MIN_RESIDENCY_MS } from './constants.ts';
import { isAdapterInUse } from './pins.ts';
import type { Popularity } from './popularity.ts';
import type { OwnedEngine, Resident } from './types.ts';

/**
 * Returns the resident whose next miss costs least, the least recently used among equals; undefined
 * while each one is in use, warm by intent, wanted by a waiting ask, or new. For an urgent load, only
 * urgent asks hold an idle adapter.
 */
export function getEvictionCandidate(
  owned: OwnedEngine,
  popularity: Popularity,
  isUrgent: boolean,
  now: number,
): Resident | undefined {
  const wanted = new Set(
    owned.queue.filter(({ kind }) => !isUrgent || kind === 'urgent').map(({ model }) => model),
  );
  let victim: Resident | undefined;
  let least = Infinity;
  for (const resident of owned.residents.values()) {
    const { model, loadedAt } = resident;
    if (isAdapterInUse(owned, model) || wanted.has(model) || owned.warmModels.has(model)) continue;
    if (loadedAt + MIN_RESIDENCY_MS > now) continue;
    const value = popularity.getValue(model, now);
    if (value > least) continue;
    if (value === least && victim !== undefined && resident.lastUsedAt >= victim.lastUsedAt)
      continue;
    victim = resident;
    least = value;
  }
  return victim;
}
