import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EndpointView } from '../fleet/types.ts';
import { isPathLost } from '../paths/lostPaths.ts';
import { checkOrderConnection } from '../paths/orderConnections.ts';
import { ORDER_KEEP_ALIVE_INTERVAL_MS } from './constants.ts';

/** Opens the order connection of an engine that this host now owns, and has it kept open. */
export function openOrderConnection(state: State, view: EndpointView, now: number): Effect[] {
  scheduleKeepAlive(state, now);
  return callIdle(state, view, now);
}

/**
 * Calls the engines of this host, so that their order connections stay open: orders go on over them while
 * new connections are refused.
 */
export function keepOrderConnections(state: State, now: number): Effect[] {
  const { residency, fleet } = state;
  residency.isKeepAliveScheduled = false;
  scheduleKeepAlive(state, now);
  return [...residency.owned.values()]
    .filter(({ orderInFlight, isReadingReport }) => orderInFlight === undefined && !isReadingReport)
    .flatMap(({ id }) => fleet.views.get(id) ?? [])
    .flatMap((view) => callIdle(state, view, now));
}

function scheduleKeepAlive(state: State, now: number): void {
  const { residency } = state;
  if (residency.isKeepAliveScheduled || residency.owned.size === 0) return;
  residency.isKeepAliveScheduled = true;
  schedule(state, now + ORDER_KEEP_ALIVE_INTERVAL_MS, { type: 'keepOrderConnections' });
}

/** Calls an engine that bears calls for which nobody waits. */
function callIdle(state: State, view: EndpointView, now: number): Effect[] {
  const isInNeed = view.limit?.perS !== undefined || view.brittleness !== undefined;
  if (isInNeed || isPathLost(state, view)) return [];
  return checkOrderConnection(state, view, now);
}
