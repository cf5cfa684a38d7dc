import type { ConfiguredService } from '../configuration/types.ts';
import type { State } from '../core/state.ts';
import { isEndpointLeaving } from '../membership/endpoints.ts';
import { ENDPOINT_BACKOFF_MS } from './constants.ts';
import type { NewAction } from './types.ts';

type ServiceEndpoint = ConfiguredService['endpoints'][number];

/** Whether the configuration declares the call as repeatable. */
export function isRepeatableCall(service: ConfiguredService, { method, path }: NewAction): boolean {
  const pathname = path.split('?')[0] ?? path;
  // HTTP defines HEAD as GET without the response body.
  const methods = method === 'HEAD' ? ['HEAD', 'GET'] : [method];
  return service.repeatable.some((call) => {
    if (!methods.includes(call.method)) return false;
    if (!call.path.endsWith('*')) return call.path === pathname;
    // A path with dot segments could lead out of the part that the pattern covers.
    return pathname.startsWith(call.path.slice(0, -1)) && !hasDotSegment(pathname);
  });
}

function hasDotSegment(path: string): boolean {
  return path
    .replace(/%2e/gi, '.')
    .replace(/%2f|%5c|\\/gi, '/')
    .split('/')
    .some((segment) => segment === '.' || segment === '..');
}

/**
 * Returns the endpoint for the next call, or undefined if all are leaving or tried. Prefers
 * endpoints that are not in backoff, then those of this host's zone, then those with the fewest
 * calls in flight.
 */
export function chooseServiceEndpoint(
  state: State,
  service: ConfiguredService,
  tried: ReadonlySet<string>,
  now: number,
): ServiceEndpoint | undefined {
  const { outstandingCalls, backoffUntil } = state.actions;
  const getRank = ({ id, zone }: ServiceEndpoint) => [
    (backoffUntil.get(id) ?? -Infinity) > now ? 1 : 0,
    zone === state.host.zone ? 0 : 1,
    outstandingCalls.get(id) ?? 0,
  ];
  return service.endpoints
    .filter(({ id }) => !tried.has(id) && !isEndpointLeaving(state, id))
    .map((endpoint) => ({ endpoint, rank: getRank(endpoint) }))
    .sort((a, b) => compareRanks(a.rank, b.rank))[0]?.endpoint;
}

/** Starts the backoff of an endpoint, during which it is chosen last. */
export function startEndpointBackoff(state: State, endpoint: string, now: number): void {
  state.actions.backoffUntil.set(endpoint, now + ENDPOINT_BACKOFF_MS);
}

/** Adds `change` to the number of calls in flight to `endpoint`. */
export function updateOutstandingCalls(state: State, endpoint: string, change: 1 | -1): void {
  const { outstandingCalls } = state.actions;
  const count = (outstandingCalls.get(endpoint) ?? 0) + change;
  if (count > 0) outstandingCalls.set(endpoint, count);
  else outstandingCalls.delete(endpoint);
}

function compareRanks(a: number[], b: number[]): number {
  for (const [index, value] of a.entries()) {
    const difference = value - (b[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}
