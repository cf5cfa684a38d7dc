import { getRendezvousOrder } from '../base/hash.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import {
  chooseEndpoint,
  getCost,
  getHealthyEndpoints,
  getRoutableEndpoints,
  isAvailable,
  runsOtherSoftware,
} from '../fleet/endpointChoice.ts';
import { FAILURE_COST_MS, CROSS_ZONE_COST_MS } from '../fleet/constants.ts';
import type { EndpointView } from '../fleet/types.ts';
import { getOwner } from '../owners/owner.ts';
import { getKnownPermitWaitMs, isLimited, takeOwnPermit } from '../limits/permits.ts';
import type { Owner } from '../owners/types.ts';
import { getPrefillMs } from '../residency/prefill.ts';
import { getEngineStatus } from '../residency/engineStatus.ts';
import {
  MAX_RANK_COST_MS,
  RESERVATION_TIMEOUT_MS,
  RANK_COST_MS,
  RUNNING_REQUEST_COST_MS,
  SLOT_SHARING_REQUESTS,
  SLOT_WAIT_COST_MS,
  UNKNOWN_LOAD_COST_MS,
  WARM_LOAD_COST_MS,
} from './constants.ts';
import { getSplitVersion } from '../streams/versionSplits.ts';
import { isKnownCrashed } from './crashEvidence.ts';
import { abandonForward } from './forwardEnd.ts';
import { getMaxPermitWaitMs, recordPermitRefusal } from './limitedPlacement.ts';
import { scheduleRetry, sendAttempt } from './sending.ts';
import { canResumeStream, type StreamOrigin } from './streamOrigin.ts';
import { refuseIfUnavailable } from './unavailability.ts';
import type { Forward } from './types.ts';

/**
 * An endpoint that can serve a request. Without an `owner` that is reachable, the request is sent
 * unreserved; an endpoint of a plain service needs a reservation only while it limits its requests.
 */
interface EndpointCandidate {
  view: EndpointView;
  owner: Owner | undefined;
  cost: number;
}

/**
 * Chooses an endpoint for a request and sends it there, or requests a reservation from the owner of
 * the engine first. Schedules a retry when no endpoint can serve the request now; abandons one that
 * resumes a stream when no endpoint of its software version is left.
 */
export function placeForward(state: State, forward: Forward, now: number): Effect[] {
  const possible = getPossibleEndpoints(state, forward, now);
  if (possible.length === 0 && forward.origin !== undefined)
    return abandonForward(state, forward, getMissingVersionReason(forward.origin));
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
  const choose = isForEngine ? chooseEngine : choosePlainEndpoint;
  const candidate = choose(state, forward, views, now);
  if (candidate === undefined) {
    const missing = isForEngine ? 'no engine can serve the request' : 'no endpoint is available';
    return scheduleRetry(state, forward, missing, now);
  }
  const { view, owner } = candidate;
  if (isLimited(view)) {
    const others = views.filter((other) => !isLimited(other));
    const lowestUnlimitedCost = choose(state, forward, others, now)?.cost;
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

/** Whether a request names a model that engines of its service hold. */
function isEngineRequest({ routeIndex }: State, { service, labels }: Forward): boolean {
  return routeIndex.current?.services.get(service)?.engine !== undefined && labels.model !== '';
}

function sendUnreserved(state: State, forward: Forward, view: EndpointView, now: number): Effect[] {
  const version = isEngineRequest(state, forward)
    ? getRequiredVersion(state, forward, view, now)
    : undefined;
  return sendAttempt(state, forward, view, undefined, version, now);
}

function choosePlainEndpoint(
  state: State,
  _forward: Forward,
  views: EndpointView[],
  now: number,
): EndpointCandidate | undefined {
  const { zone } = state.host;
  const view = chooseEndpoint(views, zone, now, state.random.getFraction());
  if (view === undefined) return undefined;
  return { view, owner: getReachableOwner(state, view), cost: getCost(view, zone, now) };
}

/**
 * Returns the endpoints that can run a request, those that it should avoid included. An endpoint that
 * refused connections may come back with other software, so it resumes no stream until then.
 */
function getPossibleEndpoints(state: State, forward: Forward, now: number): EndpointView[] {
  const { service, origin, route, labels } = forward;
  const views = getRoutableEndpoints(state.fleet, service);
  if (origin === undefined) {
    if (route.kind !== 'stream' || !route.isResumable) return views;
    const version = getSplitVersion(state, service, labels.attemptId);
    return views.filter((view) => !runsOtherSoftware(view, version));
  }
  return views.filter((view) => canResumeStream(origin, view) && !isKnownCrashed(state, view, now));
}

function getMissingVersionReason({ softwareVersion }: StreamOrigin): string {
  return softwareVersion === undefined
    ? 'the software version that began the stream is unknown'
    : `no endpoint of software version "${softwareVersion}", which began the stream, is left`;
}

/** Chooses the engine that is expected to respond first. */
function chooseEngine(
  state: State,
  forward: Forward,
  available: EndpointView[],
  now: number,
): EndpointCandidate | undefined {
  const views = getHealthyEndpoints(available, now);
  const { adapter } = forward.labels;
  const engines = views.map(({ endpoint }) => endpoint.id);
  // All hosts compute the same order, so that they load an adapter on the same engines.
  const rendezvousOrder = adapter === '' ? [] : getRendezvousOrder(adapter, engines);
  let best: EndpointCandidate | undefined;
  for (const view of views) {
    const candidate = newEngineCandidate(
      state,
      forward,
      view,
      rendezvousOrder.indexOf(view.endpoint.id),
      now,
    );
    if (candidate !== undefined && (best === undefined || candidate.cost < best.cost))
      best = candidate;
  }
  return best;
}

function newEngineCandidate(
  state: State,
  forward: Forward,
  view: EndpointView,
  rank: number,
  now: number,
): EndpointCandidate | undefined {
  const { id, zone } = view.endpoint;
  const status = getEngineStatus(state, id, now);
  const owner = getReachableOwner(state, view);
  const { adapter } = forward.labels;
  const models = status?.models ?? view.endpoint.models;
  // A restarted engine holds no base model until its owner has had it loaded again.
  if (!models.includes(getModel(forward))) return undefined;
  const isResident = adapter === '' || status?.adapters.some(([name]) => name === adapter) === true;
  // Only a reachable owner can order the load of the adapter.
  if (owner === undefined && !isResident) return undefined;
  let cost = zone === state.host.zone ? 0 : CROSS_ZONE_COST_MS;
  cost += view.failureRate * FAILURE_COST_MS;
  cost +=
    status === undefined
      ? UNKNOWN_LOAD_COST_MS
      : status.backlogMs + status.running * RUNNING_REQUEST_COST_MS;
  if (!isResident) {
    cost += WARM_LOAD_COST_MS + Math.min(MAX_RANK_COST_MS, rank * RANK_COST_MS);
    if (status !== undefined && status.openSlots <= 0) {
      // The requests for a popular adapter share the wait for one slot.
      const sharing = 1 + state.forwards.popularity.getValue(adapter, now) / SLOT_SHARING_REQUESTS;
      cost += (SLOT_WAIT_COST_MS * (1 - status.openSlots)) / sharing;
    }
  }
  return { view, owner, cost: cost + getKnownPermitWaitMs(view, now) };
}

/** Returns the owner of an endpoint if it is this host or has a link to it. */
function getReachableOwner({ owners, host }: State, { endpoint }: EndpointView): Owner | undefined {
  const owner = getOwner(owners, endpoint.id, endpoint.zone);
  const isReachable =
    owner !== undefined && (owner.host === host.id || owners.linkedHosts.has(owner.host));
  return isReachable ? owner : undefined;
}

function getModel({ labels }: Forward): string {
  return labels.model.split('/')[0] ?? '';
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
  if (status !== undefined) status.sentPrefillMs += getPrefillMs(labels.promptTokens);
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
      priority: forward.route.priority,
      maxWaitMs,
    }),
  ];
}
