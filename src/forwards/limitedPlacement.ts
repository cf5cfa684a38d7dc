import type { State } from '../core/state.ts';
import { MAX_PERMIT_WAIT_SHARE } from '../limits/constants.ts';
import type { PermitRefusal } from '../residency/types.ts';
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

/** Lets a request, and others of this host for a time, avoid an endpoint that has no permit now. */
export function recordPermitRefusal(
  { fleet }: State,
  forward: Forward,
  endpoint: string,
  { waitMs, returnMs }: PermitRefusal,
  now: number,
): void {
  const { limit, brittleness } = fleet.views.get(endpoint) ?? {};
  if (limit !== undefined) limit.nextPermitAt = now + waitMs;
  if (brittleness !== undefined) brittleness.nextPermitAt = now + waitMs;
  forward.excluded.add(endpoint);
  forward.returnMs = Math.min(forward.returnMs ?? Infinity, returnMs);
  forward.lastReason = 'the endpoints take no more requests now';
}
