import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newCount, newLog, newObserve } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { getRoutingKnowledge } from '../directory/routingKnowledge.ts';
import { Failure } from '../errors/failure.ts';
import { MAX_LOGGED_ID_LENGTH, RETRY_AFTER_MS, RETRY_AFTER_JITTER_MS } from './constants.ts';
import { giveBackQuota } from '../quotas/usage.ts';
import { recordCancelledForwardAttempt } from './crashEvidence.ts';
import type { Forward, ForwardAttempt, ForwardOutcome, NewForward } from './types.ts';

/** Rejects a request that was not admitted. */
export function rejectForward(state: State, arrival: NewForward, failure: Failure): Effect[] {
  return [
    newCount('fireflywick_requests_total', { firm: '', kind: 'forward', result: failure.kind }),
    newLog('info', 'request refused', {
      requestId: arrival.labels.attemptId,
      hostName: arrival.host,
      target: arrival.target,
      fingerprint: arrival.fingerprint,
      result: failure.kind,
      reason: failure.message,
      ...getRoutingKnowledge(state, state.now),
    }),
    { type: 'failForward', id: arrival.id, failure: withRetryAfter(state, failure) },
  ];
}

/**
 * Ends a request that cannot be served: passes on the kept error response of an endpoint, or else
 * answers with a failure that says whether the request may have run.
 */
export function abandonForward(state: State, forward: Forward, reason: string): Effect[] {
  if (forward.hasFailedResponse && !forward.hasResponseStarted)
    return passFailedResponse(state, forward, reason);
  const failure = mayHaveBeenRun(forward)
    ? Failure.create('outcome_unknown', `the request may have run: ${reason}`)
    : Failure.create('service_unavailable', `the request was not run: ${reason}`);
  return failForward(state, forward, failure);
}

/**
 * Refuses a request that has not run. One that may have run is abandoned for `reason`, as a refusal says that it
 * has not.
 */
export function refuseForward(
  state: State,
  forward: Forward,
  failure: Failure,
  reason = failure.message,
): Effect[] {
  return mayHaveBeenRun(forward) || forward.hasFailedResponse
    ? abandonForward(state, forward, reason)
    : failForward(state, forward, failure);
}

/** Whether an attempt that has ended may have run. */
function mayHaveBeenRun({ mayHaveRun, hasResponseStarted, ranOn }: Forward): boolean {
  return mayHaveRun || hasResponseStarted || ranOn.size > 0;
}

/** Passes on the kept error response of an endpoint after the retries failed too. */
function passFailedResponse(state: State, forward: Forward, reason: string): Effect[] {
  return [
    ...releaseForwardReservation(state, forward),
    ...endForward(state, forward, 'endpoint_failed', reason),
    { type: 'passResponse', id: forward.id },
  ];
}

/** Ends a request with a failure: cancels its attempt and releases its reservation. */
export function failForward(state: State, forward: Forward, failure: Failure): Effect[] {
  return [
    ...cancelRunningAttempt(state, forward, failure.message),
    ...endForward(state, forward, failure.kind, failure.message),
    { type: 'failForward', id: forward.id, failure: withRetryAfter(state, failure) },
  ];
}

/** Cancels the attempt in flight, if there is one, and releases the reservation. */
export function cancelRunningAttempt(state: State, forward: Forward, reason: string): Effect[] {
  const { id, attempt } = forward;
  const cancelled: Effect[] =
    attempt === undefined
      ? []
      : [
          newAttemptLog(forward, attempt, 'cancelled', reason, state.now),
          ...recordCancelledForwardAttempt(state, forward, attempt, state.now),
          { type: 'cancelForward', id, attempt: attempt.id },
        ];
  return [...cancelled, ...releaseForwardReservation(state, forward, 'brokenOff')];
}

/** Returns the log line of an attempt that ended without a response. */
export function newAttemptLog(
  { labels, fingerprint, caller, bodyEnd }: Forward,
  { endpoint, owner, relay, startedAt, softwareVersion }: ForwardAttempt,
  outcome: ForwardOutcome['type'],
  reason: string | undefined,
  now: number,
): Effect {
  return newLog('info', 'attempt ended', {
    requestId: labels.attemptId,
    fingerprint,
    caller,
    model: labels.model,
    promptParts: labels.promptParts,
    endpoint,
    softwareVersion,
    owner,
    relay,
    outcome,
    reason,
    elapsedMs: Math.round(now - startedAt),
    ...bodyEnd,
  });
}

function observeRoutingAge({ routing: { routingAgeMs } }: Forward): Effect[] {
  if (routingAgeMs === undefined) return [];
  return [newObserve('fireflywick_routing_age_ms', {}, routingAgeMs)];
}

/** Removes a request that has its final result, and records it in the metrics and the log. */
export function endForward(
  state: State,
  forward: Forward,
  result: string,
  reason?: string,
): Effect[] {
  state.forwards.inFlight.delete(forward.id);
  giveBackUnused(state, forward);
  const { route, labels, arrivedAt, excluded, ranOn, sends, stallMs } = forward;
  const durationMs = Math.round(state.now - arrivedAt);
  const metricLabels = { firm: '', kind: route.kind };
  if (result !== 'cancelled') state.forwards.durations.add(route.name, durationMs);
  return [
    newCount('fireflywick_requests_total', { ...metricLabels, result }),
    newObserve('fireflywick_request_duration_ms', metricLabels, durationMs),
    newObserve('fireflywick_read_delay_ms', {}, forward.readDelayMs),
    ...observeRoutingAge(forward),
    newLog('info', 'request ended', {
      requestId: labels.attemptId,
      fingerprint: forward.fingerprint,
      route: route.name,
      service: forward.service,
      tenant: forward.tenant,
      model: labels.model,
      result,
      reason,
      readDelayMs: Math.round(forward.readDelayMs),
      durationMs,
      firstMs:
        forward.firstByteAt === undefined ? undefined : Math.round(forward.firstByteAt - arrivedAt),
      sentMs: forward.sentAt === undefined ? undefined : Math.round(forward.sentAt - arrivedAt),
      stallMs,
      longestPauseMs: forward.longestPauseMs,
      resumedAttempt: labels.resumedAttempt?.slice(0, MAX_LOGGED_ID_LENGTH),
      softwareVersion: forward.lastSoftwareVersion,
      lastEventId: forward.lastEventId,
      ...forward.bodyEnd,
      sends,
      ranOn: [...ranOn],
      passedOver: [...excluded],
      lastReason: forward.lastReason,
      ...forward.routing,
    }),
  ];
}

/** Gives the units of a request back to the quota of its tenant if no endpoint can have run it. */
function giveBackUnused(state: State, forward: Forward): void {
  const { tenant, quotaCost, sends, refusedBy } = forward;
  const hasRun = mayHaveBeenRun(forward) || sends > refusedBy.size;
  if (tenant !== undefined && !hasRun) giveBackQuota(state, tenant, quotaCost, state.now);
}

/**
 * Releases the reservation of a request, or withdraws the reservation request, at the owner, and
 * removes the attempt from the in-flight count of its endpoint.
 */
export function releaseForwardReservation(
  state: State,
  forward: Forward,
  result: 'ended' | 'brokenOff' | 'missing' = 'ended',
  isRefused?: true,
): Effect[] {
  const { attempt, pendingReservation, id } = forward;
  const endpoint = attempt?.endpoint ?? pendingReservation?.engine;
  const owner = attempt?.owner ?? pendingReservation?.owner;
  const view = attempt === undefined ? undefined : state.fleet.views.get(attempt.endpoint);
  if (view !== undefined) view.inFlight = Math.max(0, view.inFlight - 1);
  forward.attempt = undefined;
  forward.pendingReservation = undefined;
  if (owner === undefined || endpoint === undefined) return [];
  return [
    sendMessage(state, owner, {
      type: 'placeReleased',
      request: id,
      engine: endpoint,
      result,
      isRefused,
    }),
  ];
}

/**
 * Adds a random part to `Retry-After` of requests that were not run, and shortens the default, so that
 * callers retry soon but not all at once.
 */
function withRetryAfter(state: State, failure: Failure): Failure {
  const { kind, message, outcome, retryAfterS } = failure;
  if (outcome !== 'not_run' || retryAfterS === undefined) return failure;
  const jitterMs = RETRY_AFTER_JITTER_MS * state.random.getFraction();
  const ms = (failure.hasDefaultRetryAfter ? RETRY_AFTER_MS : retryAfterS * 1_000) + jitterMs;
  return Failure.create(kind, message, { outcome, retryAfterS: Math.round(ms) / 1000 });
}
