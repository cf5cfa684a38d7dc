import type { Route, RouteIndex, RoutingTable } from './types.ts';

/** Returns `table` with the indexes that look-ups use. */
export function newRouteIndex(table: RoutingTable): RouteIndex {
  const byHost = new Map<string, Route[]>();
  for (const route of table.routes) {
    const host = route.host.toLowerCase();
    const routes = byHost.get(host);
    if (routes === undefined) byHost.set(host, [route]);
    else routes.push(route);
  }
  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return {
    table,
    routesByHost: byHost,
    services: new Map(table.services.map((service) => [service.name, service])),
  };
}

/** Returns the route of `host` with the longest prefix of the path, or undefined. */
export function findRoute(routing: RouteIndex, host: string, target: string): Route | undefined {
  const path = target.split('?', 1)[0] ?? '';
  return routing.routesByHost
    .get(getHostName(host))
    ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
}

/** Returns a `Host` header without its port, in lower case. */
function getHostName(host: string): string {
  return host.replace(/:\d*$/, '').toLowerCase();
}

/** Chooses the service of a request by weight; `fraction` is in [0, 1). */
export function chooseService({ targets }: Route, fraction: number): string {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let rest = fraction * total;
  for (const { service, weight } of targets) {
    rest -= weight;
    if (rest < 0) return service;
  }
  // All weights are 0, or rounding left a rest.
  return targets.at(-1)?.service ?? '';
}
