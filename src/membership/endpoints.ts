import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import {
  HOST_LIST_BYTES_PER_S,
  HOST_LIST_LINE_BYTES,
  MIN_HOST_LIST_INTERVAL_MS,
  MIN_LEAVING_MS,
} from './constants.ts';
import type { ListedHost } from './types.ts';

/** Whether an operator's intent or the host list marks the endpoint as leaving. */
export function isEndpointLeaving(state: State, endpoint: string): boolean {
  return (
    state.configuration.leavingEndpoints.has(endpoint) ||
    state.membership.leavingEndpoints.has(endpoint)
  );
}

/** Applies the host list to the leaving endpoints and announces the changes to all linked hosts. */
export function updateLeavingFromHostList(
  state: State,
  entries: ListedHost[],
  now: number,
): Effect[] {
  const { leavingEndpoints } = state.membership;
  const listed = entries.filter(({ kind }) => kind !== 'entry');
  const leaving = listed.filter((entry) => entry.state === 'leaving').map(({ id }) => id);
  const live = listed.filter((entry) => entry.state === 'live').map(({ id }) => id);
  const added = leaving.filter((id) => !leavingEndpoints.has(id));
  // A stale copy of the host list must not withdraw a mark that another host has just announced.
  const withdrawn = live.filter((id) => {
    const markedAt = leavingEndpoints.get(id);
    return markedAt !== undefined && markedAt + MIN_LEAVING_MS <= now;
  });
  const effects = updateLeavingEndpoints(state, { leaving, live: withdrawn }, now);
  if (added.length === 0 && withdrawn.length === 0) return effects;
  const message = { type: 'endpointsLeaving' as const, leaving: added, live: withdrawn };
  return [
    ...effects,
    ...[...state.membership.linkedHosts].map((to) => sendMessage(state, to, message)),
  ];
}

/** Marks the endpoints in `leaving`, logs the new ones, and unmarks those in `live`. */
export function updateLeavingEndpoints(
  state: State,
  { leaving, live }: { leaving: string[]; live: string[] },
  now: number,
): Effect[] {
  const { leavingEndpoints } = state.membership;
  const effects: Effect[] = [];
  for (const id of leaving) {
    if (!leavingEndpoints.has(id))
      effects.push(newLog('info', 'endpoint marked as leaving', { endpoint: id }));
    leavingEndpoints.set(id, now);
    // Serving the queue refuses its grant requests, so that their hosts choose other engines.
    if (state.grants.owned.has(id)) schedule(state, now, { type: 'serveQueue', engine: id });
  }
  for (const id of live) leavingEndpoints.delete(id);
  return effects;
}

/** Returns ms until the next read of the host list; grows with the list to keep the byte budget. */
export function getHostListIntervalMs(listedHostCount: number): number {
  return Math.max(
    MIN_HOST_LIST_INTERVAL_MS,
    (listedHostCount * HOST_LIST_LINE_BYTES * 1000) / HOST_LIST_BYTES_PER_S,
  );
}
