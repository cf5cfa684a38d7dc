import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { Failure } from '../errors/failure.ts';
import { findTenant } from '../tenants/findTenant.ts';
import { refuseForward } from './forwardEnd.ts';
import type { Forward } from './types.ts';

/**
 * Refuses a request whose key no longer holds, unless an earlier attempt may have run; that one's caller is told
 * that the outcome is unknown. Returns undefined while the key holds.
 */
export function refuseInvalidKey(
  state: State,
  forward: Forward,
  now: number,
): Effect[] | undefined {
  const failure = findKeyProblem(state, forward, now);
  if (failure === undefined) return undefined;
  forward.lastReason = failure.message;
  return refuseForward(state, forward, failure);
}

/** Refuses the requests that wait and whose keys the routing table no longer holds. */
export function refuseInvalidKeys(state: State, now: number): Effect[] {
  const waiting = [...state.forwards.inFlight.values()].filter(
    ({ attempt }) => attempt === undefined,
  );
  return waiting.flatMap((forward) => refuseInvalidKey(state, forward, now) ?? []);
}

function findKeyProblem(state: State, forward: Forward, now: number): Failure | undefined {
  const routing = state.routeIndex.current;
  if (routing === undefined || forward.tenant === undefined) return undefined;
  const found = findTenant(state, routing, forward.route, forward.labels.keyDigest, now);
  return found.err ? found.val : undefined;
}
