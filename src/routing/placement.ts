import { getRendezvousOrder } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import { getOwner, isReachable, type Owner } from '../ownership/owner.ts';
import type { Request } from '../requests/types.ts';

export interface Placement {
  engine: string;
  owner: Owner;
}

/** Chooses the engine that `request` is sent to; undefined when none can take it. */
export function choosePlacement(state: State, request: Request): Placement | undefined {
  const model = state.configuration.adapters.get(request.adapter)?.model;
  const holders = [...(state.engines.holders.get(request.model) ?? [])].filter((engine) =>
    canTake(state, request, engine),
  );
  const pool = [...state.configuration.engines.values()]
    .filter((engine) => engine.model === model && canTake(state, request, engine.id))
    .map(({ id }) => id);
  const resident = holders.sort((a, b) => getLoad(state, a) - getLoad(state, b))[0];
  const engine = resident ?? getRendezvousOrder(request.model, pool)[0];
  const owner = engine === undefined ? undefined : getOwner(state, engine);
  if (engine === undefined || owner === undefined) return undefined;
  return { engine, owner };
}

function canTake(state: State, request: Request, engine: string): boolean {
  if (request.excluded.has(engine) || state.configuration.leaving.has(engine)) return false;
  if (state.engines.views.get(engine)?.state === 'unreachable') return false;
  const owner = getOwner(state, engine);
  return owner !== undefined && isReachable(state, owner.host);
}

function getLoad(state: State, engine: string): number {
  const view = state.engines.views.get(engine);
  return view === undefined ? 0 : view.running + view.waiting + view.sentSince;
}
