import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { isRoutable } from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
import { isPaused, recordSend } from '../notices/pauses.ts';
import { serveReservations } from '../residency/reservations.ts';
import { ORDER_CHECK_TIMEOUT_MS } from './constants.ts';
import type { OrderCheckEnd } from './types.ts';

/** Calls an engine of this host over its order connection, unless it wants nothing of this host. */
export function checkOrderConnection(state: State, view: EndpointView, now: number): Effect[] {
  const owned = state.residency.owned.get(view.endpoint.id);
  if (owned === undefined || !isRoutable(view) || isPaused(view, now)) return [];
  recordSend(view, now);
  const { id: engine, address } = owned;
  const timeoutMs = ORDER_CHECK_TIMEOUT_MS;
  return [{ type: 'checkOrderConnection', engine, address, checkedAt: now, timeoutMs }];
}

/**
 * Finds out whether an engine to which no new connection can be opened can still be ordered over one that
 * is open. No order is sent until the check is answered.
 */
export function checkLostOrderConnection(state: State, engine: string, now: number): Effect[] {
  const lost = state.paths.lost.get(engine);
  const view = state.fleet.views.get(engine);
  if (lost === undefined || view === undefined) return [];
  const check = checkOrderConnection(state, view, now);
  if (check.length === 0) return [];
  lost.canOrder = false;
  lost.orderCheckedAt = now;
  return check;
}

/** Checks again whether engines can be ordered that could be when they were last checked. */
export function checkLostOrderConnections(state: State, now: number): Effect[] {
  return [...state.paths.lost]
    .filter(([, { canOrder }]) => canOrder)
    .flatMap(([engine]) => checkLostOrderConnection(state, engine, now));
}

/** Goes on ordering an engine that answered over its order connection. */
export function handleOrderCheckEnd(
  state: State,
  { engine, checkedAt, isAnswered }: OrderCheckEnd,
  now: number,
): Effect[] {
  const lost = state.paths.lost.get(engine);
  const owned = state.residency.owned.get(engine);
  if (lost?.orderCheckedAt !== checkedAt || owned === undefined) return [];
  lost.canOrder = isAnswered;
  if (!isAnswered) return [newLog('info', 'engine can no longer be ordered', { engine })];
  return serveReservations(state, owned, now);
}
