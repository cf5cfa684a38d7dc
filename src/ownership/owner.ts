import type { State } from '../core/state.ts';
import {
  getBlockingMember,
  getDestructiveOrdersAllowedAt,
  getMemberKey,
  isTakeoverComplete,
} from './acquiredEngines.ts';
import { hasPromisesOfAllMembers } from './promises.ts';
import { getCurrentZoneRow, getZoneRowOwner, isMember } from './rows.ts';

/** The host that makes the decisions for an engine. */
export interface ActingOwner {
  host: string;
  /** Epoch of the zone row, which is also the fencing number of orders. */
  epoch: number;
}

/** Returns the host that currently makes the decisions for `engine`, or undefined if unknown. */
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
  const blockingMember = isBlocked ? getBlockingMember(state, engine) : undefined;
  // The predecessor makes the decisions until it acknowledges the new row.
  if (blockingMember !== undefined) {
    return {
      host: blockingMember.host,
      epoch: ownership.acknowledgedEpochs.get(getMemberKey(blockingMember)) ?? 0,
    };
  }
  return { host: owner.host, epoch: known.row.epoch };
}

/** Whether this host makes the decisions for `engine`. */
export function isActingOwner(state: State, engine: string): boolean {
  return getActingOwner(state, engine)?.host === state.host.id;
}

/**
 * Whether this host may now order the unload of an adapter or a change of role. `running` is the
 * number of reported requests that the order would interrupt; by default all requests of the engine.
 */
export function canOrderDestructively(
  state: State,
  engine: string,
  now: number,
  running?: number,
): boolean {
  const { ownership } = state;
  if (ownership.mode === 'standalone') return isActingOwner(state, engine);
  const acquired = ownership.acquiredEngines.get(engine);
  if (acquired === undefined || ownership.phase !== 'active' || !isMember(state)) return false;
  if (!hasValidLease(state, now) && !hasPromisesOfAllMembers(state, now)) return false;
  if (isTakeoverComplete(acquired, now)) return true;
  const view = state.engines.views.get(engine);
  const allowedAt = getDestructiveOrdersAllowedAt(acquired);
  return view !== undefined && view.reportedAt >= allowedAt && (running ?? view.running) === 0;
}

/** Whether this host's lease is valid and was renewed since the last pause of the process. */
export function hasValidLease({ ownership }: State, now: number): boolean {
  return ownership.leaseConfirmedAt >= ownership.resumedAt && now < ownership.leaseValidUntil;
}

/** Whether `epoch` is lower than that of a grant accepted earlier for the engine. */
export function isStaleGrantEpoch(state: State, engine: string, epoch: number): boolean {
  return epoch < (state.engines.views.get(engine)?.epoch ?? 0);
}

/** Records the epoch of an accepted grant; the recorded epoch of an engine never decreases. */
export function recordGrantEpoch(state: State, engine: string, epoch: number): void {
  const view = state.engines.views.get(engine);
  if (view !== undefined) view.epoch = Math.max(view.epoch, epoch);
}

/** Whether a message to `host` can be delivered now. */
export function isReachable(state: State, host: string): boolean {
  return host === state.host.id || state.membership.linkedHosts.has(host);
}
