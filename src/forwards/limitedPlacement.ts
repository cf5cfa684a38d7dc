import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import type { EndpointView } from '../fleet/types.ts';
import { MAX_PERMIT_WAIT_SHARE } from '../limits/constants.ts';
import { getPermits, isLimited, takeReturnMs, tryTakePermit } from '../limits/permits.ts';
import type { PermitRefusal } from '../residency/types.ts';
import { abandonForward, failForward } from './forwardEnd.ts';
import type { Forward } from './types.ts';

/**
 * Returns the longest time that a request should wait for a permit of an endpoint, in ms: until another
 * endpoint without a limit would be the better choice, or else a share of the time that is left.
 */
export function getMaxPermitWaitMs(
  { deadlineAt }: Forward,
  cost: number,
  lowestUnlimitedCost: number | undefined,
  now: number,
): number {
  const longestMs = Math.max(0, deadlineAt - now) * MAX_PERMIT_WAIT_SHARE;
  if (lowestUnlimitedCost === undefined) return longestMs;
  return Math.min(longestMs, Math.max(0, lowestUnlimitedCost - cost));
}

/**
 * Takes a permit from this host's own part of an endpoint's limit, which it uses while it has no link to
 * the endpoint's owner. Returns why there is none.
 */
export function takeOwnPermit(
  state: State,
  view: EndpointView,
  now: number,
): PermitRefusal | undefined {
  const permits = getPermits(state, view, 'share', now);
  if (tryTakePermit(permits, now)) return undefined;
  const waitMs = Math.min(permits.bucket.getWaitMs(now), Number.MAX_SAFE_INTEGER);
  return { waitMs, returnMs: takeReturnMs(state, permits, waitMs, now) };
}

/** Lets a request, and others of this host for a time, avoid an endpoint that has no permit now. */
export function recordPermitRefusal(
  { fleet }: State,
  forward: Forward,
  endpoint: string,
  { waitMs, returnMs }: PermitRefusal,
  now: number,
): void {
  const limit = fleet.views.get(endpoint)?.limit;
  if (limit !== undefined) limit.nextPermitAt = now + waitMs;
  forward.excluded.add(endpoint);
  forward.returnMs = Math.min(forward.returnMs ?? Infinity, returnMs);
  forward.lastReason = 'the endpoints take no more requests now';
}

/** Whether all endpoints that can run a request limit their requests and refused this one. */
export function areAllAtLimit(views: readonly EndpointView[], { excluded }: Forward): boolean {
  return (
    views.length > 0 && views.every((view) => isLimited(view) && excluded.has(view.endpoint.id))
  );
}

/** Refuses a request because all endpoints are at their limits, and says when its caller should return. */
export function refuseAtLimit(state: State, forward: Forward): Effect[] {
  const { lastReason, mayHaveRun, ranOn, hasFailedResponse, returnMs } = forward;
  if (mayHaveRun || ranOn.size > 0 || hasFailedResponse)
    return abandonForward(state, forward, lastReason);
  const retryAfterS = returnMs === undefined ? undefined : returnMs / 1_000;
  const message = `the request was not run: ${lastReason}`;
  return failForward(state, forward, Failure.create('overloaded', message, { retryAfterS }));
}
