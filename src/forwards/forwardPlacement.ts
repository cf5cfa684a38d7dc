import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { isAvailable } from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
import { isLimited, needsPermit, takeOwnPermit } from '../limits/permits.ts';
import { getEngineStatus } from '../residency/engineStatus.ts';
import { getPrefillMs } from '../residency/prefill.ts';
import { getRank } from './priorities.ts';
import { RESERVATION_TIMEOUT_MS } from './constants.ts';
import {
  chooseCandidate,
  type EndpointCandidate,
  getPossibleEndpoints,
  isEngineRequest,
} from './endpointCandidates.ts';
import { getMaxPermitWaitMs, recordPermitRefusal } from './limitedPlacement.ts';
import { scheduleRetry, sendAttempt } from './sending.ts';
import type { Forward } from './types.ts';
import { refuseIfUnavailable, refuseWithoutVersion } from './unavailability.ts';

/**
 * Chooses an endpoint for a request and sends it there, or requests a reservation from the owner of
 * the engine first. Schedules a retry when no endpoint can serve the request now; refuses one that
 * resumes a stream when no endpoint of its software version is left.
 */
export function placeForward(state: State, forward: Forward, now: number): Effect[] {
  const possible = getPossibleEndpoints(state, forward, now);
  if (possible.length === 0 && forward.origin !== undefined)
    return refuseWithoutVersion(state, forward, forward.origin);
  const refused = refuseIfUnavailable(state, forward, possible, now);
  if (refused !== undefined) return refused;
  const views = possible.filter(
    (view) => isAvailable(view, now) && !forward.excluded.has(view.endpoint.id),
  );
  if (views.length === 0) {
    // Endpoints that refused the request may accept it after the backoff.
    forward.excluded.clear();
    return scheduleRetry(state, forward, forward.lastReason || 'no endpoint is available', now);
  }
  const isForEngine = isEngineRequest(state, forward);
  const candidate = chooseCandidate(state, forward, views, now);
  if (candidate === undefined) {
    const missing = isForEngine ? 'no engine can serve the request' : 'no endpoint is available';
    return scheduleRetry(state, forward, missing, now);
  }
  const { view, owner } = candidate;
  // The owner of a brittle engine lets no more requests run than it has room for.
  const isPermitNeeded = isForEngine && owner !== undefined ? isLimited(view) : needsPermit(view);
  if (isPermitNeeded) {
    const others = views.filter((other) => !needsPermit(other));
    const lowestUnlimitedCost = chooseCandidate(state, forward, others, now)?.cost;
    return placeAtLimit(state, forward, candidate, lowestUnlimitedCost, now);
  }
  if (owner !== undefined && isForEngine)
    return requestReservation(state, forward, view, owner.host, now);
  return sendUnreserved(state, forward, view, now);
}

/**
 * Asks the owner of a limited endpoint for a reservation, which includes a permit. Without a link to the
 * owner, sends the request with a permit of this host, or places it elsewhere.
 */
function placeAtLimit(
  state: State,
  forward: Forward,
  { view, owner, cost }: EndpointCandidate,
  lowestUnlimitedCost: number | undefined,
  now: number,
): Effect[] {
  if (owner !== undefined) {
    const maxWaitMs = getMaxPermitWaitMs(forward, cost, lowestUnlimitedCost, now);
    return requestReservation(state, forward, view, owner.host, now, maxWaitMs);
  }
  const refusal = takeOwnPermit(state, view, now);
  if (refusal === undefined) return sendUnreserved(state, forward, view, now);
  recordPermitRefusal(state, forward, view.endpoint.id, refusal, now);
  return placeForward(state, forward, now);
}

/** Refuses a request that no endpoint will take soon, or places it again after a backoff. */
export function retryUnrun(state: State, forward: Forward, reason: string, now: number): Effect[] {
  forward.lastReason = reason;
  const possible = getPossibleEndpoints(state, forward, now);
  return (
    refuseIfUnavailable(state, forward, possible, now) ?? scheduleRetry(state, forward, reason, now)
  );
}

function sendUnreserved(state: State, forward: Forward, view: EndpointView, now: number): Effect[] {
  const version = isEngineRequest(state, forward)
    ? getRequiredVersion(state, forward, view, now)
    : undefined;
  return sendAttempt(state, forward, view, undefined, version, now);
}

function getRequiredVersion(
  state: State,
  { labels }: Forward,
  { endpoint }: EndpointView,
  now: number,
): number | undefined {
  const announced = state.residency.versions.get(labels.adapter);
  if (announced !== undefined) return announced;
  const resident = getEngineStatus(state, endpoint.id, now)?.adapters.find(
    ([name]) => name === labels.adapter,
  );
  return resident === undefined || resident[1] === 0 ? undefined : resident[1];
}

function requestReservation(
  state: State,
  forward: Forward,
  { endpoint }: EndpointView,
  owner: string,
  now: number,
  maxWaitMs?: number,
): Effect[] {
  const { labels } = forward;
  forward.phase = 'awaitingOwner';
  forward.reservationRequestNumber += 1;
  forward.pendingReservation = { engine: endpoint.id, owner, isQueued: false };
  const status = state.residency.remoteStatuses.get(endpoint.id);
  // Until the owner's next status, this host adds the prefill time that it sends itself.
  if (status !== undefined)
    status.sentPrefillMs += getPrefillMs(labels.promptTokens, status.tokensPerMs);
  schedule(state, now + RESERVATION_TIMEOUT_MS, {
    type: 'reservationTimeout',
    id: forward.id,
    reservationRequestNumber: forward.reservationRequestNumber,
  });
  return [
    sendMessage(state, owner, {
      type: 'placeAsked',
      request: forward.id,
      ask: forward.reservationRequestNumber,
      engine: endpoint.id,
      adapter: labels.adapter,
      version: state.residency.versions.get(labels.adapter) ?? 0,
      softwareVersion: forward.origin?.softwareVersion,
      promptTokens: labels.promptTokens,
      outputTokens: labels.outputTokens,
      remainingMs: forward.deadlineAt - now,
      goalMs: forward.goalAt - now,
      priority: getRank(state, forward),
      maxWaitMs,
      tenant: forward.tenant,
      // A limited engine and one that resumes a stream are meant as they are.
      canMove: maxWaitMs === undefined && forward.origin === undefined ? true : undefined,
      excluded: [...forward.excluded],
    }),
  ];
}
