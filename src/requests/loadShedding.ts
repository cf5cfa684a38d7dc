import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import { KIND_LIMIT_SHARES, SHARE_LENDING_LIMIT } from './constants.ts';
import type { NewRequest } from './types.ts';

/** Returns the failure of an arrival that a full host refuses, or undefined when it has room. */
export function getOverloadFailure(state: State, { kind, firm }: NewRequest): Failure | undefined {
  const { requests, policy } = state;
  const running = requests.inFlight.size;
  const limit = policy.maxRequests * KIND_LIMIT_SHARES[kind];
  if (running >= limit) {
    const message = `this host runs ${running} requests already and takes no more of kind "${kind}"`;
    return Failure.create('overloaded', message);
  }
  const own = requests.countByFirm.get(firm) ?? 0;
  // Above this load, the rest is kept for firms that are below their shares.
  if (running >= limit * SHARE_LENDING_LIMIT && own >= limit * getShare(state, firm)) {
    const message = `firm "${firm}" uses more than its share of this host, which is nearly full`;
    return Failure.create('overloaded', message);
  }
  return undefined;
}

/** Returns the guaranteed share of a firm; a firm without one has what the others leave. */
function getShare({ configuration: { shares } }: State, firm: string): number {
  const given = [...shares.values()].reduce((sum, share) => sum + share, 0);
  return shares.get(firm) ?? Math.max(0, 1 - given);
}
