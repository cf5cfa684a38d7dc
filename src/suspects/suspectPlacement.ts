import type { State } from '../core/state.ts';
import { isEnginePaused } from '../engines/availability.ts';
import { isEndpointLeaving } from '../membership/endpoints.ts';
import { getActingOwner, isReachable } from '../ownership/owner.ts';
import type { OwnerFilter, Placement } from '../routing/placement.ts';
import { chooseSuspectEngine } from './suspicion.ts';

/** Returns the placement of a suspect; hosts that see the same engines choose the same one. */
export function chooseSuspectPlacement(
  state: State,
  request: { adapter: string; fingerprint: string; excluded: ReadonlySet<string> },
  ownerFilter: OwnerFilter = (owner) => isReachable(state, owner),
): Placement | undefined {
  const model = state.configuration.adapters.get(request.adapter)?.model;
  const candidates = [...state.configuration.engines.values()]
    .filter((engine) => engine.model === model && !request.excluded.has(engine.id))
    .map(({ id }) => id)
    .filter((id) => canPlaceOn(state, id, ownerFilter));
  const engine = chooseSuspectEngine(state, request.fingerprint, candidates);
  const owner = engine === undefined ? undefined : getActingOwner(state, engine);
  if (engine === undefined || owner === undefined) return undefined;
  return { engine, owner };
}

function canPlaceOn(state: State, engine: string, ownerFilter: OwnerFilter): boolean {
  const owner = getActingOwner(state, engine);
  return (
    !isEndpointLeaving(state, engine) &&
    state.engines.views.get(engine)?.state !== 'unreachable' &&
    !isEnginePaused(state, engine) &&
    owner !== undefined &&
    ownerFilter(owner.host)
  );
}
