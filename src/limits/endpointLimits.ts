import type { Effect } from '../core/effects.ts';
import { newGauge, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { EndpointView } from '../fleet/types.ts';
import type { EndpointLimit, NamedLimit } from './types.ts';

/** Applies what an endpoint says of its limit in the answer to an attempt that was sent at `sentAt`. */
export function recordNamedLimit(
  state: State,
  view: EndpointView,
  named: NamedLimit,
  sentAt: number,
  now: number,
): Effect[] {
  const { id: endpoint, service } = view.endpoint;
  if (named.type === 'malformed')
    return [newLog('warn', 'endpoint named a malformed limit', { endpoint, value: named.value })];
  const perS = named.type === 'rate' ? named.perS : undefined;
  if (perS === view.limit?.perS || isOutdated(view.limit, perS, sentAt)) return [];
  view.limit = { perS, formerPerS: view.limit?.perS, adoptedAt: now };
  return [
    newLog('info', 'endpoint limit changed', {
      endpoint,
      service,
      perS,
      formerPerS: view.limit.formerPerS,
    }),
    newGauge('fireflywick_limited_endpoints', {}, countLimitedEndpoints(state)),
  ];
}

/**
 * Whether an answer may be older than the known limit: its attempt was sent before this host learned of
 * that. A lower limit is applied all the same, unless it is the one before the last change.
 */
function isOutdated(
  known: EndpointLimit | undefined,
  perS: number | undefined,
  sentAt: number,
): boolean {
  if (known === undefined || sentAt > known.adoptedAt) return false;
  const isLower = (perS ?? Infinity) < (known.perS ?? Infinity);
  return !isLower || perS === known.formerPerS;
}

function countLimitedEndpoints({ fleet }: State): number {
  const views = [...fleet.views.values()];
  return views.filter(({ isRemoved, limit }) => !isRemoved && limit?.perS !== undefined).length;
}
