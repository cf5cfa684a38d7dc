import { announceShutdown } from '../membership/gossip.ts';
import { hasLeftOwnership, leaveOwnership } from '../ownership/leave.ts';
import { leaveMembers } from '../owners/members.ts';
import { hasDraftsInFlight } from '../drafts/draftQueue.ts';
import type { Effect } from './effects.ts';
import { newLog } from './observations.ts';
import type { State } from './state.ts';
import { schedule } from './timers.ts';

/** Interval between checks for remaining work while the host drains. */
const DRAIN_CHECK_MS = 50;

/** A host in `lameDuck` is not ready but still takes requests; one in `draining` takes none. */
export type Phase = 'running' | 'lameDuck' | 'draining' | 'stopped';

/** Timers of a graceful shutdown. */
export type LifecycleTimer = { type: 'lameDuckEnded' } | { type: 'drainCheck' };

/** Returns whether the load balancer should send new requests to this host. */
export function isReady(state: State): boolean {
  if (state.policy.directory !== undefined) {
    const { routeIndex, directory } = state;
    const knowsEndpoints = directory.topics.endpoints.entries.size > 0;
    return state.phase === 'running' && routeIndex.current !== undefined && knowsEndpoints;
  }
  const { mode, row } = state.ownership;
  // Without the zone row this host knows no owner to request grants from.
  const knowsOwners = mode === 'standalone' || row !== undefined;
  return state.phase === 'running' && state.configurationSync.hasCaughtUp && knowsOwners;
}

/** Starts a graceful shutdown; further requests to stop are ignored. */
export function startShutdown(state: State, now: number): Effect[] {
  if (state.phase !== 'running') return [];
  state.phase = 'lameDuck';
  schedule(state, now + state.policy.lameDuckMs, { type: 'lameDuckEnded' });
  const started = newLog('info', 'graceful shutdown started');
  const { directory } = state.policy;
  if (directory === undefined) return [started];
  state.stopAt = now + directory.stopMs;
  schedule(state, state.stopAt, { type: 'stopDeadline' });
  return [started, ...leaveMembers(state, now)];
}

/** Stops taking new requests and waits for those in flight. */
export function startDraining(state: State, now: number): Effect[] {
  state.phase = 'draining';
  if (state.policy.directory !== undefined) {
    return [{ type: 'closeFrontServer' }, ...stopWhenDrained(state, now)];
  }
  return [...leaveOwnership(state), ...stopWhenDrained(state, now)];
}

/** Stops the host once nothing is in flight and its engines are handed over. */
export function stopWhenDrained(state: State, now: number): Effect[] {
  if (state.phase !== 'draining') return [];
  const { requests, actions, operators, forwards } = state;
  const inFlight =
    requests.inFlight.size +
    actions.inFlight.size +
    operators.pendingRequests.size +
    forwards.inFlight.size;
  if (inFlight > 0 || hasDraftsInFlight(state) || !hasLeftOwnership(state, now)) {
    schedule(state, now + DRAIN_CHECK_MS, { type: 'drainCheck' });
    return [];
  }
  state.phase = 'stopped';
  return [
    ...announceShutdown(state),
    newLog('info', 'graceful shutdown complete'),
    { type: 'stopped' },
  ];
}
