import type { State } from '../core/state.ts';
import { REMOTE_REPORT_MAX_AGE_MS } from '../engines/constants.ts';
import { isEngineAvailable } from '../engines/availability.ts';
import { getLoad, isLoadRecent } from '../engines/views.ts';
import { getActingOwner, isReachable, type ActingOwner } from '../ownership/owner.ts';
import type { Request } from '../requests/types.ts';
import {
  MAX_HOLDERS_COMPARED,
  MAX_RING_STEPS,
  RING_CANDIDATES,
  RING_OVERFLOW_LOAD,
  SECOND_COPY_MAX_LOAD,
  SECOND_COPY_MIN_LOAD,
} from './constants.ts';
import { getRing } from './modelRings.ts';

/** The engine that a request is sent to, and its owner. */
export interface Placement {
  engine: string;
  owner: ActingOwner;
}

/** Whether the owner of an engine can be asked for a grant. */
export type OwnerFilter = (owner: string) => boolean;

interface Candidate extends Placement {
  load: number;
  batch: number;
}

/**
 * Chooses the engine that `request` is sent to; undefined when none can take it. A resident copy
 * with room comes first, then the engine that all hosts choose for the adapter on the ring.
 */
export function choosePlacement(
  state: State,
  request: Request,
  now: number,
  canAsk: OwnerFilter = (owner) => isReachable(state, owner),
): Placement | undefined {
  const holders = getHolders(state, request, canAsk);
  const holder = getLeastLoaded(state, getCurrent(state, holders, now));
  if (holder !== undefined && !isWorthSecondCopy(holder)) return holder;
  const candidates = getRingCandidates(state, request, canAsk);
  if (holder === undefined) return getRingChoice(state, candidates);
  const other = getLeastLoaded(state, getCurrent(state, candidates, now));
  return other !== undefined && other.load < other.batch * SECOND_COPY_MAX_LOAD ? other : holder;
}

function getHolders(state: State, request: Request, canAsk: OwnerFilter): Candidate[] {
  const holders = state.engines.holders.get(request.model);
  if (holders === undefined) return [];
  const start = holders.size > MAX_HOLDERS_COMPARED ? state.random.getInteger(holders.size) : 0;
  return holders
    .getEnginesFrom(start, MAX_HOLDERS_COMPARED)
    .flatMap((engine) => newCandidate(state, request, engine, canAsk) ?? []);
}

function getRingCandidates(state: State, request: Request, canAsk: OwnerFilter): Candidate[] {
  const model = state.configuration.adapters.get(request.adapter)?.model ?? '';
  const found: Candidate[] = [];
  getRing(state, model)?.find(
    request.model,
    RING_CANDIDATES,
    (engine) => {
      const candidate = newCandidate(state, request, engine, canAsk);
      if (candidate !== undefined) found.push(candidate);
      return candidate !== undefined;
    },
    MAX_RING_STEPS,
  );
  return found;
}

/** Returns the first engine on the ring, so that all hosts agree, unless its queue is long. */
function getRingChoice(state: State, candidates: Candidate[]): Candidate | undefined {
  return (
    candidates.find(({ load, batch }) => load < batch * RING_OVERFLOW_LOAD) ??
    getLeastLoaded(state, candidates)
  );
}

/** A full batch with a queue behind it is shorter served by a second copy. */
function isWorthSecondCopy({ load, batch }: Candidate): boolean {
  return load >= batch * SECOND_COPY_MIN_LOAD;
}

function newCandidate(
  state: State,
  request: Request,
  engine: string,
  canAsk: OwnerFilter,
): Candidate | undefined {
  const { configuration, engines } = state;
  const known = configuration.engines.get(engine);
  if (known === undefined || request.excluded.has(engine)) return undefined;
  if (!isEngineAvailable(state, engine)) return undefined;
  const owner = getActingOwner(state, engine);
  if (owner === undefined || !canAsk(owner.host)) return undefined;
  return { engine, owner, load: getLoad(engines, engine), batch: known.batch };
}

/** Leaves out engines of other zones whose load is not known, while others can be chosen. */
function getCurrent(state: State, candidates: Candidate[], now: number): Candidate[] {
  const current = candidates.filter(({ engine }) => {
    const isNear = state.configuration.engines.get(engine)?.zone === state.host.zone;
    return isNear || isLoadRecent(state.engines, engine, REMOTE_REPORT_MAX_AGE_MS, now);
  });
  return current.length === 0 ? candidates : current;
}

/** Returns the candidate with the lowest load for its size; at equal loads one in this zone. */
function getLeastLoaded(state: State, candidates: Candidate[]): Candidate | undefined {
  const isFar = ({ engine }: Candidate) =>
    Number(state.configuration.engines.get(engine)?.zone !== state.host.zone);
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    if (best === undefined) {
      best = candidate;
      continue;
    }
    const difference = candidate.load / candidate.batch - best.load / best.batch;
    if (difference < 0 || (difference === 0 && isFar(candidate) < isFar(best))) best = candidate;
  }
  return best;
}
