import type { State } from '../core/state.ts';
import { REMOTE_REPORT_MAX_AGE_MS } from '../engines/constants.ts';
import { isEngineAvailable, isEnginePaused } from '../engines/availability.ts';
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

/** Whether a grant can be requested from the owner of an engine. */
export type OwnerFilter = (owner: string) => boolean;

interface Candidate extends Placement {
  load: number;
  batch: number;
}

/**
 * Chooses the engine for `request`; undefined if none is available. Prefers a resident copy with room,
 * then the first engine for the adapter on the hash ring, which is the same on all hosts.
 */
export function choosePlacement(
  state: State,
  request: Request,
  now: number,
  ownerFilter: OwnerFilter = (owner) => isReachable(state, owner),
): Placement | undefined {
  const holders = getHolderCandidates(state, request, ownerFilter);
  const holder = getLeastLoaded(state, getWithKnownLoad(state, holders, now));
  if (holder !== undefined && !isWorthSecondCopy(holder)) return holder;
  const candidates = getRingCandidates(state, request, ownerFilter);
  if (holder === undefined) return chooseFromRing(state, candidates);
  const secondCopy = getLeastLoaded(state, getWithKnownLoad(state, candidates, now));
  return secondCopy !== undefined && secondCopy.load < secondCopy.batch * SECOND_COPY_MAX_LOAD
    ? secondCopy
    : holder;
}

function getHolderCandidates(
  state: State,
  request: Request,
  ownerFilter: OwnerFilter,
): Candidate[] {
  const holders = state.engines.holders.get(request.model);
  if (holders === undefined) return [];
  const start = holders.size > MAX_HOLDERS_COMPARED ? state.random.getInteger(holders.size) : 0;
  return holders
    .getEnginesFrom(start, MAX_HOLDERS_COMPARED)
    .flatMap((engine) => newCandidate(state, request, engine, ownerFilter) ?? []);
}

function getRingCandidates(state: State, request: Request, ownerFilter: OwnerFilter): Candidate[] {
  const baseModel = state.configuration.adapters.get(request.adapter)?.model ?? '';
  const found: Candidate[] = [];
  // The key on the ring is the `adapter@version` of the request.
  getRing(state, baseModel)?.find(
    request.model,
    RING_CANDIDATES,
    (engine) => {
      const candidate = newCandidate(state, request, engine, ownerFilter);
      if (candidate !== undefined) found.push(candidate);
      return candidate !== undefined;
    },
    MAX_RING_STEPS,
  );
  return found;
}

/**
 * Returns the first ring engine below the overflow load, which hosts with the same view agree on, or
 * the least loaded one if all exceed it.
 */
function chooseFromRing(state: State, candidates: Candidate[]): Candidate | undefined {
  return (
    candidates.find(({ load, batch }) => load < batch * RING_OVERFLOW_LOAD) ??
    getLeastLoaded(state, candidates)
  );
}

/** Whether the queue of a holder is so long that a second copy probably responds sooner. */
function isWorthSecondCopy({ load, batch }: Candidate): boolean {
  return load >= batch * SECOND_COPY_MIN_LOAD;
}

function newCandidate(
  state: State,
  request: Request,
  engine: string,
  ownerFilter: OwnerFilter,
): Candidate | undefined {
  const { configuration, engines } = state;
  const known = configuration.engines.get(engine);
  if (known === undefined || request.excluded.has(engine)) return undefined;
  if (!isEngineAvailable(state, engine) || isEnginePaused(state, engine)) return undefined;
  const owner = getActingOwner(state, engine);
  if (owner === undefined || !ownerFilter(owner.host)) return undefined;
  return { engine, owner, load: getLoad(engines, engine), batch: known.batch };
}

/** Drops engines of other zones without a recent load report, unless no others are left. */
function getWithKnownLoad(state: State, candidates: Candidate[], now: number): Candidate[] {
  const known = candidates.filter(({ engine }) => {
    const isInZone = state.configuration.engines.get(engine)?.zone === state.host.zone;
    return isInZone || isLoadRecent(state.engines, engine, REMOTE_REPORT_MAX_AGE_MS, now);
  });
  return known.length === 0 ? candidates : known;
}

/** Returns the candidate with the lowest load per batch; prefers this zone at equal loads. */
function getLeastLoaded(state: State, candidates: Candidate[]): Candidate | undefined {
  // 0 in the zone of this host, 1 in another.
  const getZoneRank = ({ engine }: Candidate) =>
    Number(state.configuration.engines.get(engine)?.zone !== state.host.zone);
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    if (best === undefined) {
      best = candidate;
      continue;
    }
    const difference = candidate.load / candidate.batch - best.load / best.batch;
    if (difference < 0 || (difference === 0 && getZoneRank(candidate) < getZoneRank(best)))
      best = candidate;
  }
  return best;
}
