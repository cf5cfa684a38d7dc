import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import type { Route } from '../routes/types.ts';
import { STOP_DURATION_SHARE, STOP_REPEATABLE_DURATION_SHARE } from './constants.ts';
import { abandonForward } from './forwardEnd.ts';
import { isRepeatable } from './repetition.ts';

/**
 * Whether a request that arrives while this host stops will probably have ended before the host does: its
 * deadline is earlier, or the last requests of its route took less than the time that is left.
 */
export function canEndBeforeStop(
  { stopAt, forwards }: State,
  route: Route,
  deadlineAt: number,
  now: number,
): boolean {
  if (stopAt === undefined || deadlineAt <= stopAt) return true;
  // The caller of a request that may be repeated sends it again if it is broken off.
  const share = isRepeatable(route) ? STOP_REPEATABLE_DURATION_SHARE : STOP_DURATION_SHARE;
  const expectedMs = forwards.durations.getQuantile(route.name, share);
  return expectedMs !== undefined && now + expectedMs <= stopAt;
}

/** Gives all requests in flight their final answer, when the host has to stop before they end. */
export function endForwardsAtStop(state: State): Effect[] {
  const reason = 'this host stopped before the request ended';
  return [...state.forwards.inFlight.values()].flatMap((forward) => {
    if (forward.attempt !== undefined) forward.mayHaveRun = true;
    return abandonForward(state, forward, reason);
  });
}

/** The failure of a request that arrives too late to end before this host stops. */
export function newStopRefusal(): Failure {
  return Failure.create('shutting_down', 'this host stops before the request would end');
}
