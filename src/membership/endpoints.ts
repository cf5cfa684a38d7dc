import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import {
  HOST_LIST_BYTES_PER_S,
  MIN_HOST_LIST_INTERVAL_MS,
  MIN_LEAVING_MS,
  HOST_LIST_LINE_BYTES,
} from './constants.ts';
import type { ListedHost } from './types.ts';

/** Whether an endpoint leaves, by an operator's intent or by the host list. */
export function isEndpointLeaving(state: State, endpoint: string): boolean {
  return (
    state.configuration.leaving.has(endpoint) || state.membership.leavingEndpoints.has(endpoint)
  );
}

/** Takes over which endpoints leave and tells all links at once what is new. */
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
  // The list lags: a reader that is behind must not undo what another one has just told.
  const withdrawn = live.filter((id) => {
    const noticedAt = leavingEndpoints.get(id);
    return noticedAt !== undefined && noticedAt + MIN_LEAVING_MS <= now;
  });
  const effects = updateLeavingEndpoints(state, { leaving, live: withdrawn }, now);
  if (added.length === 0 && withdrawn.length === 0) return effects;
  const message = { type: 'endpointsLeaving' as const, leaving: added, live: withdrawn };
  return [
    ...effects,
    ...[...state.membership.linkedHosts].map((to) => deliver(state, to, message)),
  ];
}

/** Records which endpoints leave; notes new ones in the log. */
export function updateLeavingEndpoints(
  state: State,
  { leaving, live }: { leaving: string[]; live: string[] },
  now: number,
): Effect[] {
  const { leavingEndpoints } = state.membership;
  const effects: Effect[] = [];
  for (const id of leaving) {
    if (!leavingEndpoints.has(id))
      effects.push(newLog('info', 'endpoint leaves', { endpoint: id }));
    leavingEndpoints.set(id, now);
    // Refuses the asks that wait there, so that their hosts place them elsewhere.
    if (state.grants.owned.has(id)) schedule(state, now, { type: 'serveQueue', engine: id });
  }
  for (const id of live) leavingEndpoints.delete(id);
  return effects;
}

/** Returns ms until the next read of the host list; longer for a long list, to keep the budget. */
export function getHostListIntervalMs(listedHosts: number): number {
  return Math.max(
    MIN_HOST_LIST_INTERVAL_MS,
    (listedHosts * HOST_LIST_LINE_BYTES * 1000) / HOST_LIST_BYTES_PER_S,
  );
}
