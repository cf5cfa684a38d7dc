import type { ConfiguredService } from '../configuration/types.ts';
import type { State } from '../core/state.ts';
import { isEndpointLeaving } from '../membership/endpoints.ts';
import { ENDPOINT_BACKOFF_MS } from './constants.ts';
import type { NewAction } from './types.ts';

type ServiceEndpoint = ConfiguredService['endpoints'][number];

/** Whether the configuration allows the call to be repeated. */
export function isRepeatableCall(service: ConfiguredService, { method, path }: NewAction): boolean {
  const plain = path.split('?')[0] ?? path;
  // HTTP defines HEAD as GET without the body.
  const methods = method === 'HEAD' ? ['HEAD', 'GET'] : [method];
  return service.repeatable.some((call) => {
    if (!methods.includes(call.method)) return false;
    if (!call.path.endsWith('*')) return call.path === plain;
    // Dot segments could leave the part of the service that the pattern covers.
    return plain.startsWith(call.path.slice(0, -1)) && !hasDotSegment(plain);
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
 * Returns the endpoint for the next call: not leaving, not tried, not avoided, in the own zone, with
 * the fewest calls in progress. An avoided endpoint is chosen only when all others are out.
 */
export function chooseServiceEndpoint(
  state: State,
  service: ConfiguredService,
  tried: ReadonlySet<string>,
  now: number,
): ServiceEndpoint | undefined {
  const { outstandingCalls: outstanding, backoffUntil: avoidUntil } = state.actions;
  const getRank = ({ id, zone }: ServiceEndpoint) => [
    (avoidUntil.get(id) ?? -Infinity) > now ? 1 : 0,
    zone === state.host.zone ? 0 : 1,
    outstanding.get(id) ?? 0,
  ];
  return service.endpoints
    .filter(({ id }) => !tried.has(id) && !isEndpointLeaving(state, id))
    .map((endpoint) => ({ endpoint, rank: getRank(endpoint) }))
    .sort((a, b) => compareRanks(a.rank, b.rank))[0]?.endpoint;
}

/** Chooses `endpoint` last for a while. */
export function startEndpointBackoff(state: State, endpoint: string, now: number): void {
  state.actions.backoffUntil.set(endpoint, now + ENDPOINT_BACKOFF_MS);
}

/** Changes the number of calls in progress at `endpoint`. */
export function updateOutstandingCalls(state: State, endpoint: string, change: 1 | -1): void {
  const { outstandingCalls: outstanding } = state.actions;
  const count = (outstanding.get(endpoint) ?? 0) + change;
  if (count > 0) outstanding.set(endpoint, count);
  else outstanding.delete(endpoint);
}

function compareRanks(a: number[], b: number[]): number {
  for (const [index, value] of a.entries()) {
    const difference = value - (b[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}
