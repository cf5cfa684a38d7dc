import type { Route, RoutingTable, Tenant } from './types.ts';

/** Something in a routing table that operators hardly mean. */
export interface Finding {
  /** Place in the table, as in `routes.2`. */
  place: string;
  message: string;
}

type Check = (table: RoutingTable) => Finding[];

/** Checks in the order in which their findings are listed. */
const CHECKS: Check[] = [
  findUnreachableRoutes,
  findOddTargets,
  findOddTimes,
  findOddTenants,
  findUnusedServices,
];

/**
 * Returns what a valid routing table holds that can never match or that contradicts itself. Hosts accept such a
 * table; an operator is told before it is in force.
 */
export function checkRoutingTable(table: RoutingTable): Finding[] {
  return CHECKS.flatMap((check) => check(table));
}

function findUnreachableRoutes({ routes }: RoutingTable): Finding[] {
  const first = new Map<string, string>();
  return routes.flatMap(({ name, host, pathPrefix }, index) => {
    const place = `routes.${index}`;
    const key = `${host.toLowerCase()} ${pathPrefix}`;
    const earlier = first.get(key);
    if (earlier === undefined) first.set(key, name);
    const messages = [
      earlier === undefined ? '' : `route "${earlier}" takes all its requests`,
      host === '' || /[\s:/]/.test(host) ? `host "${host}" matches no request` : '',
      /[?#\s]/.test(pathPrefix) ? `prefix "${pathPrefix}" matches no path` : '',
      /^\/(.*\/)?$/.test(pathPrefix)
        ? ''
        : `prefix "${pathPrefix}" does not begin and end with a slash`,
    ];
    return newFindings(place, messages);
  });
}

function findOddTargets({ routes, services }: RoutingTable): Finding[] {
  const names = new Set(services.map(({ name }) => name));
  return routes.flatMap(({ targets }, index) => {
    const unknown = targets.filter(({ service }) => !names.has(service));
    const total = targets.reduce((sum, { weight }) => sum + weight, 0);
    const unused = targets.filter(({ weight }) => weight === 0);
    const messages = [
      ...unknown.map(({ service }) => `service "${service}" does not exist`),
      total > 0 ? '' : 'the weights of its services add up to nothing',
      ...(total > 0 ? unused : []).map(({ service }) => `service "${service}" has no weight`),
    ];
    return newFindings(`routes.${index}`, messages);
  });
}

function findOddTimes({ routes }: RoutingTable): Finding[] {
  return routes.flatMap((route, index) => {
    const { timeoutMs, goalMs, attempts } = route;
    const messages = [
      goalMs > timeoutMs
        ? `its goal of ${goalMs} ms is later than its timeout of ${timeoutMs} ms`
        : '',
      goalMs <= timeoutMs && attempts * goalMs > timeoutMs && isRepeatable(route)
        ? `${attempts} attempts of ${goalMs} ms do not fit into its timeout of ${timeoutMs} ms`
        : '',
      attempts > 1 && !isRepeatable(route)
        ? `only one of its ${attempts} attempts is made, as its requests may not run twice`
        : '',
    ];
    return newFindings(`routes.${index}`, messages);
  });
}

function isRepeatable({ kind, isResumable }: Route): boolean {
  return kind === 'safe' || (kind === 'stream' && isResumable);
}

function findOddTenants({ tenants, routes }: RoutingTable): Finding[] {
  if (tenants == null) return [];
  const findings = tenants.flatMap((tenant, index) =>
    newFindings(`tenants.${index}`, getTenantProblems(tenant)),
  );
  const isAnyReached = routes.some(({ isPublic }) => isPublic !== true);
  if (tenants.length > 0 && routes.length > 0 && !isAnyReached)
    findings.push({ place: 'tenants', message: 'all routes are public, so no key is looked at' });
  return findings;
}

function getTenantProblems({ keyDigests, ratePerS, burst, unit, defaultTokens }: Tenant): string[] {
  return [
    keyDigests.length === 0 ? 'it has no key, so no request is its own' : '',
    ratePerS === 0 && burst > 0 ? `its burst of ${burst} does nothing without a rate` : '',
    ratePerS > 0 && unit === 'request' && burst < 1 && ratePerS < 1
      ? 'its rate and burst are below one request'
      : '',
    ratePerS > 0 && unit === 'token' && burst > 0 && burst < defaultTokens
      ? `its burst of ${burst} tokens is below the ${defaultTokens} of a request without a count`
      : '',
  ];
}

function findUnusedServices({ routes, services }: RoutingTable): Finding[] {
  const used = new Set(routes.flatMap(({ targets }) => targets.map(({ service }) => service)));
  return services.flatMap(({ name }, index) =>
    used.has(name) ? [] : [{ place: `services.${index}`, message: `no route leads to "${name}"` }],
  );
}

function newFindings(place: string, messages: readonly string[]): Finding[] {
  return messages.filter((message) => message !== '').map((message) => ({ place, message }));
}
