import type { State } from '../core/state.ts';
import { getBlocker, getDestructiveFrom, getMemberKey, isComplete } from './holdings.ts';
import { hasPromises } from './promises.ts';
import { getCurrent, getRowOwner, isMember } from './rows.ts';

/** The host that decides for an engine. */
export interface Owner {
  host: string;
  /** Epoch of the zone row; also the fencing number of orders. */
  epoch: number;
}

/** Returns the host that decides for `engine`, or undefined when this host does not know one. */
export function getOwner(state: State, engine: string): Owner | undefined {
  const { ownership, host } = state;
  const zone = state.configuration.engines.get(engine)?.zone;
  if (zone === undefined) return undefined;
  if (ownership.mode === 'alone') return { host: host.id, epoch: 1 };
  const known = zone === host.zone ? getCurrent(ownership) : ownership.foreign.get(zone);
  const owner = known === undefined ? undefined : getRowOwner(known, engine);
  if (known === undefined || owner === undefined) return undefined;
  const isBlocked =
    zone === host.zone &&
    owner.host === host.id &&
    owner.incarnation === host.incarnation &&
    !ownership.holdings.has(engine);
  const blocker = isBlocked ? getBlocker(state, engine) : undefined;
  // Until the predecessor knows the new row, it still decides.
  if (blocker !== undefined) {
    return { host: blocker.host, epoch: ownership.acknowledged.get(getMemberKey(blocker)) ?? 0 };
  }
  return { host: owner.host, epoch: known.row.epoch };
}

/** Whether this host decides for `engine`. */
export function isOwner(state: State, engine: string): boolean {
  return getOwner(state, engine)?.host === state.host.id;
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
  if (ownership.mode === 'alone') return isOwner(state, engine);
  const holding = ownership.holdings.get(engine);
  if (holding === undefined || ownership.phase !== 'active' || !isMember(state)) return false;
  if (!hasLease(state, now) && !hasPromises(state, now)) return false;
  if (isComplete(holding, now)) return true;
  const view = state.engines.views.get(engine);
  const from = getDestructiveFrom(holding);
  return view !== undefined && view.reportedAt >= from && (running ?? view.running) === 0;
}

/** Whether this host's lease is valid and was renewed since the last pause of the process. */
export function hasLease({ ownership }: State, now: number): boolean {
  return ownership.confirmedAt >= ownership.resumedAt && now < ownership.leaseUntil;
}

/** Whether a grant of `epoch` is older than one that this host has seen for the engine. */
export function isStaleEpoch(state: State, engine: string, epoch: number): boolean {
  return epoch < (state.engines.views.get(engine)?.epoch ?? 0);
}

/** Records the epoch of a grant that was accepted; epochs of an engine never go back. */
export function noteEpoch(state: State, engine: string, epoch: number): void {
  const view = state.engines.views.get(engine);
  if (view !== undefined) view.epoch = Math.max(view.epoch, epoch);
}

/** Whether a message to `host` can be delivered now. */
export function isReachable(state: State, host: string): boolean {
  return host === state.host.id || state.membership.linkedHosts.has(host);
}
