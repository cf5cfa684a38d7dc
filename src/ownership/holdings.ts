import type { State } from '../core/state.ts';
import { LEASE_TTL_MS, PREDECESSOR_GONE_MS, TAKEOVER_WAIT_MS, WATCH_FACTOR } from './constants.ts';
import { getCurrent, getRowAt, getRowOwner, getSelf, isSame } from './rows.ts';
import type { Holding, Member } from './types.ts';

/** Returns the key of a member in `acknowledged`. */
export function getMemberKey({ host, incarnation }: Member): string {
  return `${host}/${incarnation}`;
}

/** Records that `member` acts by `epoch` or a later one. */
export function acknowledge(state: State, member: Member, epoch: number, now: number): boolean {
  const { ownership } = state;
  const key = getMemberKey(member);
  if ((ownership.acknowledged.get(key) ?? 0) >= epoch) return false;
  ownership.acknowledged.set(key, epoch);
  ownership.changedAt = now;
  return true;
}

/** Takes up the engines that no other member can still decide for, and drops those that are lost. */
export function updateHoldings(state: State): void {
  const { ownership, configuration } = state;
  const current = getCurrent(ownership);
  const self = getSelf(state);
  for (const engine of ownership.holdings.keys()) {
    if (!configuration.engines.has(engine)) ownership.holdings.delete(engine);
  }
  if (current === undefined) return;
  for (const { id, zone } of configuration.engines.values()) {
    if (zone !== state.host.zone) continue;
    const isOwn = isSame(getRowOwner(current, id), self);
    if (!isOwn || getBlocker(state, id) !== undefined) ownership.holdings.delete(id);
    else if (!ownership.holdings.has(id)) ownership.holdings.set(id, newHolding(state, id));
  }
}

/**
 * Returns a member that may still act as the owner of `engine` under an older row, or undefined.
 * Every such member is in the current row, or it was removed after its lease ended.
 */
export function getBlocker(state: State, engine: string): Member | undefined {
  const { ownership } = state;
  const current = getCurrent(ownership);
  const self = getSelf(state);
  return current?.row.members.find((member) => {
    if (isSame(member, self)) return false;
    const handover = ownership.received.get(engine);
    const handedAt = isSame(handover?.predecessor, member) ? (handover?.epoch ?? 0) : 0;
    const seen = Math.max(getSeenEpoch(state, member), handedAt);
    for (let epoch = seen; epoch < current.row.epoch; epoch++) {
      const known = getRowAt(ownership, epoch);
      if (known === undefined || isSame(getRowOwner(known, engine), member)) return true;
    }
    return false;
  });
}

/** Whether the pins of the predecessor are known, or cannot matter any more. */
export function isComplete(holding: Holding, now: number): boolean {
  return (
    holding.predecessor === null ||
    holding.isHandedOver ||
    now >= getDestructiveFrom(holding) - TAKEOVER_WAIT_MS + PREDECESSOR_GONE_MS
  );
}

/** Returns the monotonic ms from which destructive orders are allowed without a handover. */
export function getDestructiveFrom({ since, predecessor }: Holding): number {
  // A predecessor that was removed had no lease any more. One that was replaced by a restart of
  // the same host may have had one until its time to live ended.
  const lease = predecessor === undefined ? LEASE_TTL_MS * WATCH_FACTOR : 0;
  return since + lease + TAKEOVER_WAIT_MS;
}

function getSeenEpoch(state: State, member: Member): number {
  const { ownership } = state;
  const told = ownership.acknowledged.get(getMemberKey(member)) ?? 0;
  // Only a host itself adds itself to the row, so it has never acted by an earlier one.
  const joined = ownership.history.find(({ row }) =>
    row.members.some((one) => isSame(one, member)),
  );
  const epoch = joined?.row.epoch ?? 0;
  const isJoin = epoch === 1 || getRowAt(ownership, epoch - 1) !== undefined;
  return Math.max(told, isJoin ? epoch : 0);
}

function newHolding(state: State, engine: string): Holding {
  const { ownership } = state;
  const self = getSelf(state);
  let gained = ownership.history.length - 1;
  const isOwnAt = (index: number): boolean => {
    const known = ownership.history[index];
    return known !== undefined && isSame(getRowOwner(known, engine), self);
  };
  const getEpoch = (index: number): number => ownership.history[index]?.row.epoch ?? 0;
  while (isOwnAt(gained - 1) && getEpoch(gained - 1) === getEpoch(gained) - 1) gained -= 1;
  const first = ownership.history[gained];
  const epoch = first?.row.epoch ?? 0;
  const before = getRowAt(ownership, epoch - 1);
  const owner = before === undefined ? undefined : getRowOwner(before, engine);
  // The same host under an earlier incarnation cannot hand anything over.
  const known = owner?.host === self.host ? undefined : owner;
  const predecessor = epoch === 1 ? null : known;
  const handover = ownership.received.get(engine);
  return {
    since: Math.max(first?.seenAt ?? -Infinity, ownership.changedAt),
    epoch,
    predecessor,
    isHandedOver:
      predecessor !== null &&
      predecessor !== undefined &&
      isSame(handover?.predecessor, predecessor) &&
      (handover?.epoch ?? 0) >= epoch &&
      (handover?.isComplete ?? false),
    askedAt: -Infinity,
  };
}
