import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { isRoutable } from '../fleet/endpointChoice.ts';
import { isPathLost } from '../paths/lostPaths.ts';
import { getEngineClass } from '../residency/reservations.ts';
import { MAX_UNREACHABLE_ENGINES, REACHABLE_AFTER_MS, UNREACHABLE_AFTER_MS } from './constants.ts';
import { writeMembersRow } from './members.ts';
import { getMember } from './owner.ts';
import type { Member } from './types.ts';

/** What a member says of the engines that it can't order. */
type Reachability = Required<Pick<Member, 'unreachable' | 'isCutOff'>>;

/** Writes which of its engines this host can't reach, so that other hosts own them. */
export function updateOwnReachability(state: State, now: number): Effect[] {
  const { owners, host } = state;
  const own = getMember(owners, host.id);
  if (own === undefined || owners.isLeaving) return [];
  const current = getReachability(state, own, now);
  const isSame =
    current.isCutOff === (own.isCutOff ?? false) &&
    current.unreachable.join() === (own.unreachable ?? []).join();
  if (isSame) return [];
  const change = (members: readonly Member[]): Member[] =>
    members.map((member) => (member.host === host.id ? { ...member, ...current } : member));
  return writeMembersRow(state, change, now);
}

function getReachability(state: State, own: Member, now: number): Reachability {
  const isCutOff = saysCutOff(state, own, now);
  return { isCutOff, unreachable: isCutOff ? [] : getUnreachableEngines(state, own, now) };
}

/**
 * Whether this host says that it can order no engine. Standby hosts say so only once no owner can, so that
 * few hosts write at once.
 */
function saysCutOff(state: State, { isOwner, isCutOff = false }: Member, now: number): boolean {
  const { paths, residency, owners } = state;
  if (paths.cutOffSince === undefined)
    return isCutOff && paths.cutOffEndedAt + REACHABLE_AFTER_MS > now;
  const canOrderAny = [...residency.owned.keys()].some(
    (engine) => !isUnreachable(state, engine, now),
  );
  if (canOrderAny) return false;
  const others = owners.row?.members.filter((member) => member.isOwner) ?? [];
  const isNeeded =
    isOwner || residency.owned.size > 0 || others.every((member) => member.isCutOff === true);
  return isCutOff || (isNeeded && paths.cutOffSince + UNREACHABLE_AFTER_MS <= now);
}

/** Returns the engines that an owner lists, or has to list, in the order of their ids. */
function getUnreachableEngines(
  state: State,
  { isOwner, unreachable = [] }: Member,
  now: number,
): string[] {
  const listed = unreachable.filter((engine) => !isReachableAgain(state, engine, now));
  const candidates = isOwner ? state.paths.lost.keys() : state.residency.owned.keys();
  const lost = [...candidates].filter((engine) => isUnreachable(state, engine, now));
  return [...new Set([...listed, ...lost])].sort().slice(0, MAX_UNREACHABLE_ENGINES);
}

/** Whether this host has been unable to order an engine for so long that others should order it. */
function isUnreachable(state: State, engine: string, now: number): boolean {
  const { paths, fleet } = state;
  const view = fleet.views.get(engine);
  const lost = paths.lost.get(engine);
  return (
    view !== undefined &&
    getEngineClass(state, view) !== undefined &&
    lost?.startedAt === view.endpoint.startedAt &&
    !lost.canOrder &&
    lost.isReachedByOthers &&
    lost.orderCheckedAt + UNREACHABLE_AFTER_MS <= now
  );
}

/** Whether an engine is gone, or this host has reached it directly for so long that it may order it again. */
function isReachableAgain(state: State, engine: string, now: number): boolean {
  const view = state.fleet.views.get(engine);
  if (view === undefined || !isRoutable(view)) return true;
  const restoredAt = state.paths.restoredAt.get(engine) ?? -Infinity;
  return !isPathLost(state, view) && restoredAt + REACHABLE_AFTER_MS <= now;
}
