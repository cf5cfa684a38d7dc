import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import { KIND_LIMIT_SHARES, SHARE_LENDING_LIMIT } from './constants.ts';
import type { NewRequest } from './types.ts';

/** Returns the overload failure of an arriving request, or undefined when there is capacity. */
export function getOverloadFailure(state: State, { kind, firm }: NewRequest): Failure | undefined {
  const { requests, policy } = state;
  const running = requests.inFlight.size;
  const limit = policy.maxRequests * KIND_LIMIT_SHARES[kind];
  if (running >= limit) {
    const message = `this host has ${running} requests in flight and accepts no more of kind "${kind}"`;
    return Failure.create('overloaded', message);
  }
  const firmRequests = requests.countByFirm.get(firm) ?? 0;
  // Above this load, the remaining capacity is reserved for firms below their shares.
  if (running >= limit * SHARE_LENDING_LIMIT && firmRequests >= limit * getShare(state, firm)) {
    const message = `this host is nearly full and firm "${firm}" has used its share with ${firmRequests} requests in flight`;
    return Failure.create('overloaded', message);
  }
  return undefined;
}

/** Returns the guaranteed share of a firm; a firm without one gets the unassigned remainder. */
function getShare({ configuration: { shares } }: State, firm: string): number {
  const assigned = [...shares.values()].reduce((sum, share) => sum + share, 0);
  return shares.get(firm) ?? Math.max(0, 1 - assigned);
}
