import { FAILURE_COST_MS, CROSS_ZONE_COST_MS, INITIAL_MEAN_ANSWER_MS } from './constants.ts';
import { getKnownPermitWaitMs } from '../limits/permits.ts';
import { isPaused } from '../notices/pauses.ts';
import type { EndpointView, Fleet } from './types.ts';

/** Whether an endpoint is known to leave, by the directory, an answer or another host. */
export function isLeaving({ endpoint, isToldLeaving }: EndpointView): boolean {
  return endpoint.isLeaving || isToldLeaving;
}

/** Whether new requests may go to an endpoint, at once or after a pause that it asked for. */
export function isRoutable(view: EndpointView): boolean {
  return !view.isRemoved && !isLeaving(view);
}

/** Whether a request may be sent to an endpoint now. */
export function isAvailable(view: EndpointView, now: number): boolean {
  return isRoutable(view) && !isPaused(view, now);
}

/** Whether an endpoint runs another software version than the one that a request must run on. */
export function runsOtherSoftware(
  view: EndpointView | undefined,
  softwareVersion: string | undefined,
): boolean {
  return softwareVersion !== undefined && view?.endpoint.softwareVersion !== softwareVersion;
}

/** Returns the endpoints of `service` that are not removed, leaving ones too. */
export function getPresentEndpoints(fleet: Fleet, service: string): EndpointView[] {
  return [...fleet.views.values()].filter(
    ({ endpoint, isRemoved }) => endpoint.service === service && !isRemoved,
  );
}

/** Returns the routable endpoints of `service`. */
export function getRoutableEndpoints(fleet: Fleet, service: string): EndpointView[] {
  return [...fleet.views.values()].filter(
    (view) => view.endpoint.service === service && isRoutable(view),
  );
}

/** Returns the endpoints that are not in backoff, or all of them if every one is in backoff. */
export function getHealthyEndpoints(views: EndpointView[], now: number): EndpointView[] {
  const healthy = views.filter(({ backoffUntil }) => backoffUntil <= now);
  return healthy.length === 0 ? views : healthy;
}

/**
 * Chooses the endpoint of a plain service with the lowest expected cost. `fraction` in [0, 1)
 * breaks ties, so that hosts do not all choose the same endpoint.
 */
export function chooseEndpoint(
  views: EndpointView[],
  zone: string,
  now: number,
  fraction: number,
): EndpointView | undefined {
  const healthy = getHealthyEndpoints(views, now);
  const start = Math.floor(fraction * healthy.length);
  let best: EndpointView | undefined;
  let lowestCost = Infinity;
  for (let step = 0; step < healthy.length; step++) {
    const view = healthy[(start + step) % healthy.length];
    if (view === undefined) continue;
    const cost = getCost(view, zone, now);
    if (cost < lowestCost) {
      best = view;
      lowestCost = cost;
    }
  }
  return best;
}

/** Returns the expected cost of a request at an endpoint of a plain service, in ms. */
export function getCost(view: EndpointView, zone: string, now: number): number {
  const { endpoint, inFlight, meanAnswerMs, failureRate } = view;
  const mean = meanAnswerMs === 0 ? INITIAL_MEAN_ANSWER_MS : meanAnswerMs;
  const queue = Math.max(0, inFlight + 1 - endpoint.slots / 2);
  return (
    mean * (1 + inFlight / endpoint.slots + queue) +
    failureRate * FAILURE_COST_MS +
    getKnownPermitWaitMs(view, now) +
    (endpoint.zone === zone ? 0 : CROSS_ZONE_COST_MS)
  );
}
