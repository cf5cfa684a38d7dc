import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import { getPresentEndpoints, isLeaving } from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
import { needsPermit } from '../limits/permits.ts';
import { getShortestPauseMs, isPaused } from '../notices/pauses.ts';
import { LEAVING_RETURN_MS, PAUSE_RETURN_SPREAD, VERSION_RETURN_MS } from './constants.ts';
import { findVersionThatIsDown } from './endpointCandidates.ts';
import { abandonForward, refuseForward } from './forwardEnd.ts';
import type { StreamOrigin } from './streamOrigin.ts';
import type { Forward } from './types.ts';

/**
 * Refuses a request at once, with a time to return, if no endpoint will take it soon: each one that
 * could run it has asked for a pause or is at its limit, those of the software version on which its stream would
 * begin are down, or all of its service leave. Returns undefined otherwise.
 */
export function refuseIfUnavailable(
  state: State,
  forward: Forward,
  possible: readonly EndpointView[],
  now: number,
): Effect[] | undefined {
  if (possible.length === 0) {
    if (!areAllLeaving(state, forward)) return undefined;
    return refuse(state, forward, 'all endpoints of the service are leaving', LEAVING_RETURN_MS);
  }
  const down = findVersionThatIsDown(state, forward, possible, now);
  if (down !== undefined) {
    const reason = `the endpoints of software version "${down.softwareVersion ?? ''}" are down`;
    return refuseForward(state, forward, Failure.create('service_unavailable', reason));
  }
  const mayTake = possible.some((view) => !isPaused(view, now) && !isAtLimit(view, forward));
  if (mayTake) return undefined;
  const paused = possible.filter((view) => isPaused(view, now));
  const reason =
    paused.length === 0 ? forward.lastReason : 'the endpoints want no requests for a time';
  const earliestMs = getShortestPauseMs(paused, now) ?? Infinity;
  // Callers that are told the same time would return all at once.
  const pauseReturnMs = earliestMs * (1 + PAUSE_RETURN_SPREAD * state.random.getFraction());
  const isAnyAtLimit = paused.length < possible.length;
  const permitReturnMs = isAnyAtLimit ? (forward.returnMs ?? Infinity) : Infinity;
  return refuse(state, forward, reason, Math.min(pauseReturnMs, permitReturnMs));
}

/**
 * Refuses a request that resumes a stream when no endpoint of its software version is left. Its caller has nowhere
 * else to go and returns a few times only, so that it is told to return when a restart is probably over.
 */
export function refuseWithoutVersion(
  state: State,
  forward: Forward,
  { softwareVersion }: StreamOrigin,
): Effect[] {
  if (softwareVersion === undefined)
    return abandonForward(state, forward, 'the software version that began the stream is unknown');
  const reason = `no endpoint of software version "${softwareVersion}", which began the stream, is left`;
  const message = `the request was not run: ${reason}`;
  const retryAfterS = VERSION_RETURN_MS / 1_000;
  const failure = Failure.create('service_unavailable', message, { retryAfterS });
  return refuseForward(state, forward, failure, reason);
}

function areAllLeaving({ fleet }: State, { service }: Forward): boolean {
  const views = getPresentEndpoints(fleet, service);
  return views.length > 0 && views.every(isLeaving);
}

/** Whether an endpoint had no permit for this request. */
function isAtLimit(view: EndpointView, { excluded }: Forward): boolean {
  return needsPermit(view) && excluded.has(view.endpoint.id);
}

function refuse(state: State, forward: Forward, reason: string, returnMs: number): Effect[] {
  forward.lastReason = reason;
  const retryAfterS = Number.isFinite(returnMs) ? returnMs / 1_000 : undefined;
  const message = `the request was not run: ${reason}`;
  const failure = Failure.create('overloaded', message, { retryAfterS });
  return refuseForward(state, forward, failure, reason);
}
