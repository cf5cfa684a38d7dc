import { getRendezvousOrder } from '../base/hash.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import { getRoutableEndpoints } from '../fleet/endpointChoice.ts';
import { getOwner } from '../owners/owner.ts';
import { MIN_RELOCATED_DEMAND, WANTED_ADAPTER_TTL_MS } from './constants.ts';
import { getEvictableCopy } from './copies.ts';
import { getEngineStatus } from './engineStatus.ts';
import { serveReservations } from './reservations.ts';
import type { AdapterWanted, EngineResidency, EngineStatus } from './types.ts';

/**
 * Has the adapters in demand that only this engine holds loaded on other engines, before requests miss
 * them there; called when the engine leaves or is removed. Adapters in little demand are left until they
 * are asked for.
 */
export function relocateAdapters(state: State, owned: EngineResidency, now: number): Effect[] {
  const { popularity, versions } = state.residency;
  const service = state.fleet.views.get(owned.id)?.endpoint.service ?? '';
  const statuses = getRoutableEndpoints(state.fleet, service).flatMap(
    ({ endpoint }) => getEngineStatus(state, endpoint.id, now) ?? [],
  );
  return [...owned.copies.values()].flatMap(({ adapter, phase }) => {
    const demand = popularity.getValue(adapter, now);
    if (phase === 'unloading' || demand < MIN_RELOCATED_DEMAND) return [];
    const target = chooseTarget(adapter, statuses);
    const zone = state.fleet.views.get(target ?? '')?.endpoint.zone;
    const owner = target === undefined ? undefined : getOwner(state.owners, target, zone ?? '');
    if (target === undefined || owner === undefined) return [];
    const version = versions.get(adapter) ?? 0;
    return [
      newLog('info', 'adapter is relocated', { adapter, from: owned.id, to: target, demand }),
      sendMessage(state, owner.host, {
        type: 'adapterWanted',
        engine: target,
        adapter,
        version,
        demand,
      }),
    ];
  });
}

/** Has an adapter loaded on an engine of this host once nothing more urgent has to be ordered. */
export function addWantedAdapter(
  state: State,
  { engine, adapter, version, demand }: AdapterWanted,
  now: number,
): Effect[] {
  const owned = state.residency.owned.get(engine);
  if (owned === undefined) return [];
  owned.wanted.set(adapter, { version, demand, expiresAt: now + WANTED_ADAPTER_TTL_MS });
  return serveReservations(state, owned, now);
}

/**
 * Returns a relocated adapter to load on an engine: one that fits beside the others, or that is in more
 * demand than the copy that would be evicted for it.
 */
export function getWantedAdapter(
  { residency }: State,
  owned: EngineResidency,
  slotLimit: number,
  now: number,
): { adapter: string; version: number } | undefined {
  for (const [adapter, { version, demand, expiresAt }] of owned.wanted) {
    if (expiresAt <= now || owned.copies.has(adapter)) {
      owned.wanted.delete(adapter);
      continue;
    }
    if (owned.copies.size < slotLimit) return { adapter, version };
    const evictable = getEvictableCopy(owned, residency.popularity, now);
    const isWorthIt =
      evictable !== undefined && residency.popularity.getValue(evictable.adapter, now) < demand;
    if (isWorthIt) return { adapter, version };
  }
  return undefined;
}

/**
 * Returns the engine on which hosts place requests for an adapter that no engine holds; undefined if one
 * holds it, or if none has a slot for it.
 */
function chooseTarget(adapter: string, statuses: readonly EngineStatus[]): string | undefined {
  if (statuses.some(({ adapters }) => adapters.some(([name]) => name === adapter)))
    return undefined;
  const model = adapter.split('/')[0] ?? '';
  const possible = statuses.filter(
    ({ models, openSlots }) => models.includes(model) && openSlots > 0,
  );
  return getRendezvousOrder(
    adapter,
    possible.map(({ engine }) => engine),
  )[0];
}
