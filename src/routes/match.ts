import type { Route, RouteIndex, RoutingTable, Tenant } from './types.ts';

/** Returns the look-up indexes of `table`. */
export function newRouteIndex(table: RoutingTable): RouteIndex {
  const routesByHost = new Map<string, Route[]>();
  for (const route of table.routes) {
    const host = route.host.toLowerCase();
    const routes = routesByHost.get(host);
    if (routes === undefined) routesByHost.set(host, [route]);
    else routes.push(route);
  }
  for (const routes of routesByHost.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return {
    table,
    routesByHost,
    services: new Map(table.services.map((service) => [service.name, service])),
    tenants: new Map(table.tenants?.map((tenant) => [tenant.name, tenant])),
    tenantsByKey: newTenantsByKey(table.tenants ?? undefined),
  };
}

function newTenantsByKey(tenants: readonly Tenant[] | undefined): Map<string, Tenant> | undefined {
  if (tenants === undefined) return undefined;
  const byKey = new Map<string, Tenant>();
  for (const tenant of tenants) {
    for (const digest of tenant.keyDigests) byKey.set(digest, tenant);
  }
  return byKey;
}

/** Returns the route of `host` with the longest prefix of the path of `target`. */
export function findRoute(index: RouteIndex, host: string, target: string): Route | undefined {
  const path = target.split('?', 1)[0] ?? '';
  return index.routesByHost
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
  let remaining = fraction * total;
  for (const { service, weight } of targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  // All weights are 0, or a rounding error left a remainder.
  return targets.at(-1)?.service ?? '';
}
