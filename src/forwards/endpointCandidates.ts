import { getRendezvousOrder } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import { CROSS_ZONE_COST_MS, FAILURE_COST_MS } from '../fleet/constants.ts';
import {
  chooseEndpoint,
  getCost,
  getHealthyEndpoints,
  getRoutableEndpoints,
} from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
import { getKnownPermitWaitMs } from '../limits/permits.ts';
import { getOwner } from '../owners/owner.ts';
import type { Owner } from '../owners/types.ts';
import { getEngineStatus } from '../residency/engineStatus.ts';
import { getPrefillMs } from '../residency/prefill.ts';
import type { EngineStatus } from '../residency/types.ts';
import { filterByVersionSplit } from '../streams/versionSplits.ts';
import {
  MAX_RANK_COST_MS,
  RANK_COST_MS,
  RUNNING_REQUEST_COST_MS,
  SLOT_SHARING_REQUESTS,
  SLOT_WAIT_COST_MS,
  UNKNOWN_LOAD_COST_MS,
  WARM_LOAD_COST_MS,
} from './constants.ts';
import { isKnownCrashed } from './crashEvidence.ts';
import { canResumeStream } from './streamOrigin.ts';
import type { Forward } from './types.ts';

/**
 * An endpoint that can serve a request. Without an `owner` that is reachable, the request is sent
 * unreserved; an endpoint of a plain service needs a reservation only while it limits its requests.
 */
export interface EndpointCandidate {
  view: EndpointView;
  owner: Owner | undefined;
  cost: number;
}

/** Chooses the endpoint among `views` that is expected to serve a request first. */
export function chooseCandidate(
  state: State,
  forward: Forward,
  views: EndpointView[],
  now: number,
): EndpointCandidate | undefined {
  return isEngineRequest(state, forward)
    ? chooseEngine(state, forward, views, now)
    : choosePlainEndpoint(state, views, now);
}

/** Whether a request names a model that engines of its service hold. */
export function isEngineRequest({ routeIndex }: State, { service, labels }: Forward): boolean {
  return routeIndex.current?.services.get(service)?.engine !== undefined && labels.model !== '';
}

/**
 * Returns the endpoints that can run a request, those that it should avoid included. An endpoint that
 * refused connections may come back with other software, so it resumes no stream until then.
 */
export function getPossibleEndpoints(state: State, forward: Forward, now: number): EndpointView[] {
  const { service, origin, labels } = forward;
  const views = getRoutableEndpoints(state.fleet, service);
  if (origin !== undefined)
    return views.filter(
      (view) => canResumeStream(origin, view) && !isKnownCrashed(state, view, now),
    );
  if (!beginsResumableStream(forward)) return views;
  // Also while all of them are down: a host without records derives where the stream began from the split.
  return filterByVersionSplit(state, service, labels.attemptId, views, now);
}

/**
 * Whether a request may run at an endpoint that its owner granted: what this host knows of the endpoint, or the
 * split, may have changed since it asked, and the owner may know an older entry.
 */
export function mayRunAt(state: State, forward: Forward, view: EndpointView, now: number): boolean {
  if (!beginsResumableStream(forward)) return canResumeStream(forward.origin, view);
  return getPossibleEndpoints(state, forward, now).includes(view);
}

/** Whether a request begins a stream that its caller may take up again at another host. */
export function beginsResumableStream({ route, origin }: Forward): boolean {
  return origin === undefined && route.kind === 'stream' && route.isResumable;
}

/**
 * Returns the software version on which the stream of a request would have to begin, if its endpoints are known to
 * be down while other endpoints of the service are not; undefined otherwise.
 */
export function findVersionThatIsDown(
  state: State,
  forward: Forward,
  possible: readonly EndpointView[],
  now: number,
): { softwareVersion: string | undefined } | undefined {
  const [first] = possible;
  if (first === undefined || !beginsResumableStream(forward)) return undefined;
  if (!possible.every((view) => isKnownCrashed(state, view, now))) return undefined;
  const views = getRoutableEndpoints(state.fleet, forward.service);
  if (views.every((view) => isKnownCrashed(state, view, now))) return undefined;
  return { softwareVersion: first.endpoint.softwareVersion };
}

function choosePlainEndpoint(
  state: State,
  views: EndpointView[],
  now: number,
): EndpointCandidate | undefined {
  const { zone } = state.host;
  const view = chooseEndpoint(views, zone, now, state.random.getFraction());
  if (view === undefined) return undefined;
  return { view, owner: getReachableOwner(state, view), cost: getCost(view, zone, now) };
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
      : status.backlogMs +
        status.running * RUNNING_REQUEST_COST_MS +
        getReadingCostMs(forward, status);
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

/** Returns how much longer an engine takes to read a prompt than one of the usual speed, in ms. */
function getReadingCostMs({ labels }: Forward, { tokensPerMs }: EngineStatus): number {
  return getPrefillMs(labels.promptTokens, tokensPerMs) - getPrefillMs(labels.promptTokens);
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
