import type { State } from '../core/state.ts';
import {
  getBlockingMember,
  getDestructiveOrdersAllowedAt,
  getMemberKey,
  isTakeoverComplete,
} from './acquiredEngines.ts';
import { hasPromisesOfAllMembers } from './promises.ts';
import { getCurrentZoneRow, getZoneRowOwner, isMember } from './rows.ts';

/** The host that decides for an engine. */
export interface ActingOwner {
  host: string;
  /** Epoch of the zone row; also the fencing number of orders. */
  epoch: number;
}

/** Returns the host that decides for `engine`, or undefined when this host does not know one. */
export function getActingOwner(state: State, engine: string): ActingOwner | undefined {
  const { ownership, host } = state;
  const zone = state.configuration.engines.get(engine)?.zone;
  if (zone === undefined) return undefined;
  if (ownership.mode === 'standalone') return { host: host.id, epoch: 1 };
  const known =
    zone === host.zone ? getCurrentZoneRow(ownership) : ownership.otherZoneRows.get(zone);
  const owner = known === undefined ? undefined : getZoneRowOwner(known, engine);
  if (known === undefined || owner === undefined) return undefined;
  const isBlocked =
    zone === host.zone &&
    owner.host === host.id &&
    owner.incarnation === host.incarnation &&
    !ownership.acquiredEngines.has(engine);
  const blocker = isBlocked ? getBlockingMember(state, engine) : undefined;
  // Until the predecessor knows the new row, it still decides.
  if (blocker !== undefined) {
    return {
      host: blocker.host,
      epoch: ownership.acknowledgedEpochs.get(getMemberKey(blocker)) ?? 0,
    };
  }
  return { host: owner.host, epoch: known.row.epoch };
}

/** Whether this host decides for `engine`. */
export function isActingOwner(state: State, engine: string): boolean {
  return getActingOwner(state, engine)?.host === state.host.id;
}

/**
 * Whether this host may order the unload of an adapter or a change of role now. `running` is the
 * number of requests that the engine's last report shows for what the order would end; without it,
 * all requests of the engine count.
 */
export function canOrderDestructively(
  state: State,
  engine: string,
  now: number,
  running?: number,
): boolean {
  const { ownership } = state;
  if (ownership.mode === 'standalone') return isActingOwner(state, engine);
  const holding = ownership.acquiredEngines.get(engine);
  if (holding === undefined || ownership.phase !== 'active' || !isMember(state)) return false;
  if (!hasValidLease(state, now) && !hasPromisesOfAllMembers(state, now)) return false;
  if (isTakeoverComplete(holding, now)) return true;
  const view = state.engines.views.get(engine);
  const from = getDestructiveOrdersAllowedAt(holding);
  return view !== undefined && view.reportedAt >= from && (running ?? view.running) === 0;
}

/** Whether this host's lease is valid and was renewed since the last pause of the process. */
export function hasValidLease({ ownership }: State, now: number): boolean {
  return ownership.leaseConfirmedAt >= ownership.resumedAt && now < ownership.leaseValidUntil;
}

/** Whether a grant of `epoch` is older than one that this host has seen for the engine. */
export function isStaleGrantEpoch(state: State, engine: string, epoch: number): boolean {
  return epoch < (state.engines.views.get(engine)?.epoch ?? 0);
}

/** Records the epoch of a grant that was accepted; epochs of an engine never go back. */
export function recordGrantEpoch(state: State, engine: string, epoch: number): void {
  const view = state.engines.views.get(engine);
  if (view !== undefined) view.epoch = Math.max(view.epoch, epoch);
}

/** Whether a message to `host` can be delivered now. */
export function isReachable(state: State, host: string): boolean {
  return host === state.host.id || state.membership.linkedHosts.has(host);
}
