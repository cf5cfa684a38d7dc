import { TokenBucket } from '../base/tokenBucket.ts';
import type { State } from '../core/state.ts';
import type { EndpointView } from '../fleet/types.ts';
import { countRecentLimitSharers, getOwner } from '../owners/owner.ts';
import type { PermitRefusal } from '../residency/types.ts';
import {
  BRITTLE_MEAN_ANSWER_MS,
  MAX_RETURN_MS,
  MIN_PERMITS_PER_S,
  PERMIT_BURST_MS,
  SHARERS_WINDOW_MS,
} from './constants.ts';
import { getMaxInFlight } from '../notices/brittleness.ts';
import type { EndpointPermits, PermitRole, QueuedPermit } from './types.ts';

/** Whether an endpoint names a limit on the requests that it takes. */
export function isLimited({ limit }: EndpointView): boolean {
  return limit?.perS !== undefined;
}

/** Whether requests to an endpoint need a permit: it limits them, or is brittle. */
export function needsPermit(view: EndpointView): boolean {
  return isLimited(view) || view.brittleness !== undefined;
}

/** Returns the time until a limited endpoint may have a permit for this host, in ms; 0 without a limit. */
export function getKnownPermitWaitMs(view: EndpointView, now: number): number {
  const nextPermitAt = view.limit?.nextPermitAt ?? view.brittleness?.nextPermitAt ?? now;
  return needsPermit(view) ? Math.max(0, nextPermitAt - now) : 0;
}

/** Whether this host hands out the permits of an endpoint. */
export function isPermitOwner({ owners, host }: State, { endpoint }: EndpointView): boolean {
  return getOwner(owners, endpoint.id, endpoint.zone)?.host === host.id;
}

/**
 * Returns the permits of a limited endpoint that this host hands out in `role`. A host that starts to
 * hand them out has none at first, since others may have used those of the last second.
 */
export function getPermits(
  state: State,
  view: EndpointView,
  role: PermitRole,
  now: number,
): EndpointPermits {
  const { id, startedAt } = view.endpoint;
  const { permits } = state.limits;
  const known = permits.get(id);
  const perS = getPermitsPerS(state, view, role, now);
  if (known?.role === role && known.startedAt === startedAt) {
    if (known.bucket.ratePerS !== perS)
      known.bucket = newBucket(perS, known.bucket.getTokens(now), now);
    return known;
  }
  const created: EndpointPermits = {
    role,
    startedAt,
    bucket: newBucket(perS, 0, now),
    queue: known?.queue ?? [],
    inFlight: known?.startedAt === startedAt ? known.inFlight : new Map<string, number>(),
    nextServeAt: -Infinity,
    returnsUntil: -Infinity,
    granted: 0,
    refused: 0,
  };
  permits.set(id, created);
  return created;
}

/** Takes one permit; returns whether there was one. */
export function tryTakePermit(permits: EndpointPermits, now: number): boolean {
  if (!permits.bucket.tryTake(now)) return false;
  permits.granted += 1;
  return true;
}

/** Takes what a request needs to be sent: a permit of the limit, and room at a brittle endpoint. */
export function tryAdmit(
  view: EndpointView,
  permits: EndpointPermits,
  { request, remainingMs }: Pick<QueuedPermit, 'request' | 'remainingMs'>,
  now: number,
): boolean {
  const { brittleness } = view;
  if (brittleness !== undefined) {
    for (const [id, endsAt] of permits.inFlight) if (endsAt <= now) permits.inFlight.delete(id);
    if (permits.inFlight.size >= getMaxInFlight(view, brittleness, now)) return false;
  }
  if (isLimited(view) && !tryTakePermit(permits, now)) return false;
  if (brittleness !== undefined) permits.inFlight.set(request, now + remainingMs);
  return true;
}

/** Returns the expected time until request number `position` of a queue is admitted, in ms. */
export function getAdmissionWaitMs(
  view: EndpointView,
  permits: EndpointPermits,
  position: number,
  now: number,
): number {
  const limitMs = isLimited(view) ? permits.bucket.getWaitMs(now, position) : 0;
  if (view.brittleness === undefined) return limitMs;
  return Math.max(limitMs, position * getAdmissionIntervalMs(view, permits, now));
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
  const isAdmitted =
    hasOwnRoom(state, view, now) && (!isLimited(view) || tryTakePermit(permits, now));
  return isAdmitted ? undefined : newPermitRefusal(state, view, permits, 0, now);
}

/** Whether this host has fewer requests under way to a brittle endpoint than its own part of those allows. */
function hasOwnRoom({ owners }: State, view: EndpointView, now: number): boolean {
  const { brittleness, inFlight } = view;
  if (brittleness === undefined) return true;
  const sharers = countRecentLimitSharers(owners, SHARERS_WINDOW_MS, now);
  return inFlight < Math.max(1, Math.floor(getMaxInFlight(view, brittleness, now) / sharers));
}

/** Returns why a request gets no permit now; `ahead` others get one before it. */
export function newPermitRefusal(
  state: State,
  view: EndpointView,
  permits: EndpointPermits,
  ahead: number,
  now: number,
): PermitRefusal {
  const admissionMs = getAdmissionWaitMs(view, permits, ahead + 1, now);
  const waitMs = Math.min(admissionMs, Number.MAX_SAFE_INTEGER);
  return { waitMs, returnMs: takeReturnMs(state, view, permits, waitMs, now) };
}

/**
 * Returns the time after which the caller of a refused request should return, in ms. Each refusal takes
 * the next time at which there is a permit, so that callers return at the rate of the permits; beyond a
 * maximum they are spread at random.
 */
function takeReturnMs(
  { random }: State,
  view: EndpointView,
  permits: EndpointPermits,
  waitMs: number,
  now: number,
): number {
  permits.refused += 1;
  const intervalMs = getAdmissionIntervalMs(view, permits, now);
  const at = Math.max(permits.returnsUntil + intervalMs, now + waitMs);
  if (at - now > MAX_RETURN_MS) return MAX_RETURN_MS * (0.5 + random.getFraction() / 2);
  permits.returnsUntil = at;
  return at - now;
}

/** Returns the time between two requests that an endpoint can take, in ms. */
function getAdmissionIntervalMs(
  view: EndpointView,
  { bucket }: EndpointPermits,
  now: number,
): number {
  const limitMs = isLimited(view) ? 1_000 / Math.max(bucket.ratePerS, MIN_PERMITS_PER_S) : 0;
  const { brittleness, meanAnswerMs } = view;
  if (brittleness === undefined) return limitMs;
  const meanMs = meanAnswerMs === 0 ? BRITTLE_MEAN_ANSWER_MS : meanAnswerMs;
  return Math.max(limitMs, meanMs / getMaxInFlight(view, brittleness, now));
}

/**
 * Returns the permits per second of this host. The owner has those of all members with a link to it, and
 * each other member its own part, so that all parts add up to no more than the limit, however links are
 * cut. Without a members row the number of parts is unknown, so there are none.
 */
function getPermitsPerS(
  { owners, host }: State,
  { limit }: EndpointView,
  role: PermitRole,
  now: number,
): number {
  const members = owners.row?.members ?? [];
  if (members.length === 0) return 0;
  const linked = members.filter(
    (member) => member.host !== host.id && owners.linkedHosts.has(member.host),
  );
  const sharers = countRecentLimitSharers(owners, SHARERS_WINDOW_MS, now);
  const parts = role === 'owner' ? 1 + linked.length : 1;
  const perS = Math.max(limit?.perS ?? 0, MIN_PERMITS_PER_S);
  return (perS * Math.min(parts, sharers)) / sharers;
}

function newBucket(perS: number, tokens: number, now: number): TokenBucket {
  const limit = Math.max(1, (perS * PERMIT_BURST_MS) / 1_000);
  return TokenBucket.create(perS, limit, now, Math.min(tokens, limit));
}
