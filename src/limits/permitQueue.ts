import type { Effect } from '../core/effects.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { isRoutable, runsOtherSoftware } from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
import type {
  PermitRefusal,
  ReservationRefusalReason,
  ReservationRequest,
} from '../residency/types.ts';
import {
  MAX_PERMIT_WAIT_SHARE,
  MAX_QUEUED_PERMITS,
  MAX_SERVE_INTERVAL_MS,
  MIN_PERMIT_REMAINING_MS,
  PERMIT_SERVE_INTERVAL_MS,
} from './constants.ts';
import { recordRefusal } from '../notices/brittleness.ts';
import {
  getAdmissionWaitMs,
  getPermits,
  isLimited,
  isPermitOwner,
  newPermitRefusal,
  tryAdmit,
} from './permits.ts';
import type { EndpointPermits, QueuedPermit } from './types.ts';

/** A request that waits for a permit, in the queue of an engine or of an endpoint of a plain service. */
type Waiting = Pick<QueuedPermit, 'maxWaitMs' | 'remainingMs' | 'arrivedAt'>;

/**
 * Grants a request a permit of an endpoint of a plain service, queues it, or refuses it when it would
 * wait too long.
 */
export function queuePermit(
  state: State,
  view: EndpointView,
  message: ReservationRequest,
  from: string,
  now: number,
): Effect[] {
  const permits = getPermits(state, view, 'owner', now);
  const { queue } = permits;
  const queued: QueuedPermit = { ...message, from, arrivedAt: now, isAcknowledged: false };
  if (queue.length === 0) {
    queue.push(queued);
    return servePermits(state, view.endpoint.id, now);
  }
  // Others wait already, and a timer serves them.
  const position = findPosition(queue, queued);
  const refusal =
    queue.length < MAX_QUEUED_PERMITS
      ? refuseLongWait(state, view, permits, queued, position, now)
      : newPermitRefusal(state, view, permits, queue.length, now);
  if (refusal !== undefined) return [newRefusal(state, queued, 'limited', refusal)];
  queue.splice(position, 0, queued);
  return acknowledge(state, [queued]);
}

/**
 * Removes a request that no longer waits for an endpoint of a plain service, or that the endpoint has ended,
 * and admits others. `isRefused` tells whether the endpoint turned it away.
 */
export function releasePermit(
  state: State,
  endpoint: string,
  request: string,
  isRefused: boolean,
  now: number,
): Effect[] {
  const permits = state.limits.permits.get(endpoint);
  if (permits === undefined) return [];
  permits.queue = permits.queue.filter((queued) => queued.request !== request);
  const view = state.fleet.views.get(endpoint);
  if (isRefused && view !== undefined) recordRefusal(view, now);
  return permits.inFlight.delete(request) ? servePermits(state, endpoint, now) : [];
}

/**
 * Starts to hand out the permits of endpoints that this host owns now, and serves the queues of all
 * endpoints soon; called after members, links or endpoints changed.
 */
export function updatePermits(state: State, now: number): void {
  for (const view of state.fleet.views.values()) {
    if (isLimited(view) && isPermitOwner(state, view)) getPermits(state, view, 'owner', now);
  }
  for (const [endpoint, { queue }] of state.limits.permits) {
    if (queue.length > 0) schedule(state, now, { type: 'servePermits', endpoint });
  }
}

/** Hands out the permits that there are, the most urgent requests first, and refuses those that would wait too long. */
export function servePermits(state: State, endpoint: string, now: number): Effect[] {
  const known = state.limits.permits.get(endpoint);
  if (known === undefined || known.queue.length === 0) return [];
  const view = state.fleet.views.get(endpoint);
  if (view === undefined || !isRoutable(view)) return refuseAll(state, known, 'leaving');
  if (!isPermitOwner(state, view)) return refuseAll(state, known, 'notOwner');
  const permits = getPermits(state, view, 'owner', now);
  const effects: Effect[] = [];
  const left: QueuedPermit[] = [];
  for (const queued of getServable(state, permits.queue, now)) {
    if (runsOtherSoftware(view, queued.softwareVersion)) {
      effects.push(newRefusal(state, queued, 'otherSoftware'));
    } else if (tryAdmit(view, permits, queued, now)) {
      effects.push(newGrant(state, view, queued, now));
    } else {
      const refusal = refuseLongWait(state, view, permits, queued, left.length, now);
      if (refusal === undefined) left.push(queued);
      else effects.push(newRefusal(state, queued, 'limited', refusal));
    }
  }
  permits.queue = left;
  scheduleServing(state, view, permits, now);
  return [...effects, ...acknowledge(state, left)];
}

/**
 * Returns when a request that would wait too long for its permit should be tried again; undefined if it
 * can wait. `ahead` requests get a permit before it.
 */
export function refuseLongWait(
  state: State,
  view: EndpointView,
  permits: EndpointPermits,
  { maxWaitMs, remainingMs, arrivedAt }: Waiting,
  ahead: number,
  now: number,
): PermitRefusal | undefined {
  const waitMs = getAdmissionWaitMs(view, permits, ahead + 1, now);
  const longestMs = maxWaitMs ?? remainingMs * MAX_PERMIT_WAIT_SHARE;
  if (now + waitMs <= arrivedAt + longestMs) return undefined;
  return newPermitRefusal(state, view, permits, ahead, now);
}

/** Returns the index of a request in a queue that is sorted by priority and arrival. */
function findPosition(queue: readonly QueuedPermit[], { priority = 0 }: QueuedPermit): number {
  const index = queue.findIndex((other) => (other.priority ?? 0) > priority);
  return index === -1 ? queue.length : index;
}

/** Returns the requests that can still be served, in the order of the queue. */
function getServable(
  { host, owners }: State,
  queue: readonly QueuedPermit[],
  now: number,
): QueuedPermit[] {
  return queue
    .filter(({ from }) => from === host.id || owners.linkedHosts.has(from))
    .filter(
      ({ arrivedAt, remainingMs }) => arrivedAt + remainingMs - MIN_PERMIT_REMAINING_MS > now,
    );
}

function scheduleServing(
  state: State,
  view: EndpointView,
  permits: EndpointPermits,
  now: number,
): void {
  if (permits.queue.length === 0) return;
  const admissionMs = getAdmissionWaitMs(view, permits, 1, now);
  const waitMs = Math.max(PERMIT_SERVE_INTERVAL_MS, admissionMs);
  const at = now + Math.min(waitMs, MAX_SERVE_INTERVAL_MS);
  if (permits.nextServeAt > now && permits.nextServeAt <= at) return;
  permits.nextServeAt = at;
  schedule(state, at, { type: 'servePermits', endpoint: view.endpoint.id });
}

function newGrant(
  state: State,
  { endpoint }: EndpointView,
  { request, ask, from, arrivedAt }: QueuedPermit,
  now: number,
): Effect {
  return sendMessage(state, from, {
    type: 'placeGiven',
    request,
    ask,
    engine: endpoint.id,
    startedAt: endpoint.startedAt,
    stallMs: Math.round(now - arrivedAt),
  });
}

function refuseAll(
  state: State,
  permits: EndpointPermits,
  reason: ReservationRefusalReason,
): Effect[] {
  const { queue } = permits;
  permits.queue = [];
  return queue.map((queued) => newRefusal(state, queued, reason));
}

function newRefusal(
  state: State,
  { request, ask, engine, from }: QueuedPermit,
  reason: ReservationRefusalReason,
  limit?: PermitRefusal,
): Effect {
  return sendMessage(state, from, { type: 'placeRefused', request, ask, engine, reason, limit });
}

/** Tells the hosts of requests that wait, so that they do not take this host for unreachable. */
function acknowledge(state: State, queue: QueuedPermit[]): Effect[] {
  return queue
    .filter((queued) => !queued.isAcknowledged)
    .map((queued) => {
      queued.isAcknowledged = true;
      const { request, ask, from } = queued;
      return sendMessage(state, from, { type: 'placeQueued', request, ask });
    });
}
