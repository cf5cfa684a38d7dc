import type { Effect } from '../core/effects.ts';
import { newGauge, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { isRoutable } from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
import { MAX_LOGGED_ENDPOINTS } from './constants.ts';
import { checkLostOrderConnection } from './orderConnections.ts';
import { checkOtherHosts } from './otherHosts.ts';

/** Records that this host can't reach endpoints directly; later requests to them go through relays. */
export function losePaths(
  state: State,
  views: readonly EndpointView[],
  reason: string,
  now: number,
): Effect[] {
  const { paths } = state;
  const newlyLost = views.filter((view) => !isPathLost(state, view));
  const endpoints = newlyLost.map(({ endpoint }) => {
    paths.lost.set(endpoint.id, {
      startedAt: endpoint.startedAt,
      probedAt: -Infinity,
      orderCheckedAt: now,
      canOrder: false,
      isReachedByOthers: false,
      hostsAsked: 0,
    });
    return endpoint.id;
  });
  if (endpoints.length === 0) return [];
  return [
    newLog('warn', 'endpoints are not reachable directly', {
      reason,
      count: endpoints.length,
      endpoints: endpoints.slice(0, MAX_LOGGED_ENDPOINTS),
    }),
    observeLostPaths(state),
    // Connections that are open may hang; those that live on end with the requests that they carry.
    ...endpoints.map((endpoint): Effect => ({ type: 'retireConnections', endpoint })),
    ...endpoints.flatMap((endpoint) => checkLostOrderConnection(state, endpoint, now)),
    ...checkOtherHosts(state, newlyLost, now),
  ];
}

/** Records that an endpoint can be reached directly again. */
export function restorePath(state: State, endpoint: string, now: number): Effect[] {
  const { paths } = state;
  if (!paths.lost.delete(endpoint)) return [];
  paths.restoredAt.set(endpoint, now);
  if (paths.cutOffSince !== undefined) {
    paths.cutOffSince = undefined;
    paths.cutOffEndedAt = now;
  }
  return [
    newLog('info', 'endpoint is reachable directly again', { endpoint }),
    observeLostPaths(state),
    { type: 'retireConnections', endpoint },
  ];
}

/** Forgets the paths to endpoints that are gone or have started again. */
export function dropOutdatedPaths(state: State): void {
  const { paths, fleet } = state;
  for (const endpoint of paths.restoredAt.keys())
    if (fleet.views.get(endpoint)?.isRemoved !== false) paths.restoredAt.delete(endpoint);
  for (const endpoint of paths.lost.keys()) {
    const view = fleet.views.get(endpoint);
    if (view === undefined || view.isRemoved || !isPathLost(state, view))
      paths.lost.delete(endpoint);
  }
}

/** Whether this host can't reach the present start of an endpoint directly. */
export function isPathLost({ paths }: State, { endpoint }: EndpointView): boolean {
  return paths.lost.get(endpoint.id)?.startedAt === endpoint.startedAt;
}

/** Whether this host can send orders to an engine: over new connections, or over one that is still open. */
export function canOrderEngine(state: State, view: EndpointView): boolean {
  return !isPathLost(state, view) || state.paths.lost.get(view.endpoint.id)?.canOrder === true;
}

/** Returns the routable endpoints that this host reaches directly, as far as it knows. */
export function getDirectEndpoints(state: State): EndpointView[] {
  return [...state.fleet.views.values()].filter(
    (view) => isRoutable(view) && !isPathLost(state, view),
  );
}

function observeLostPaths({ paths }: State): Effect {
  return newGauge('fireflywick_relayed_endpoints', {}, paths.lost.size);
}
