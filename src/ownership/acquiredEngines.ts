import type { State } from '../core/state.ts';
import {
  LEASE_TTL_MS,
  PREDECESSOR_REQUESTS_WAIT_MS,
  DESTRUCTIVE_ORDER_WAIT_MS,
  CLOCK_DRIFT_FACTOR,
} from './constants.ts';
import {
  getCurrentZoneRow,
  getZoneRowAtEpoch,
  getZoneRowOwner,
  getSelfMember,
  isSameMember,
} from './rows.ts';
import type { AcquiredEngine, ZoneMember } from './types.ts';

/** Returns the key of a member in `acknowledged`. */
export function getMemberKey({ host, incarnation }: ZoneMember): string {
  return `${host}/${incarnation}`;
}

/** Records that `member` acts by `epoch` or a later one. */
export function recordAcknowledgedEpoch(
  state: State,
  member: ZoneMember,
  epoch: number,
  now: number,
): boolean {
  const { ownership } = state;
  const key = getMemberKey(member);
  if ((ownership.acknowledgedEpochs.get(key) ?? 0) >= epoch) return false;
  ownership.acknowledgedEpochs.set(key, epoch);
  ownership.changedAt = now;
  return true;
}

/** Takes up the engines that no other member can still decide for, and drops those that are lost. */
export function updateAcquiredEngines(state: State): void {
  const { ownership, configuration } = state;
  const current = getCurrentZoneRow(ownership);
  const self = getSelfMember(state);
  for (const engine of ownership.acquiredEngines.keys()) {
    if (!configuration.engines.has(engine)) ownership.acquiredEngines.delete(engine);
  }
  if (current === undefined) return;
  for (const { id, zone } of configuration.engines.values()) {
    if (zone !== state.host.zone) continue;
    const isOwn = isSameMember(getZoneRowOwner(current, id), self);
    if (!isOwn || getBlockingMember(state, id) !== undefined) ownership.acquiredEngines.delete(id);
    else if (!ownership.acquiredEngines.has(id))
      ownership.acquiredEngines.set(id, newHolding(state, id));
  }
}

/**
 * Returns a member that may still act as the owner of `engine` under an older row, or undefined.
 * Every such member is in the current row, or it was removed after its lease ended.
 */
export function getBlockingMember(state: State, engine: string): ZoneMember | undefined {
  const { ownership } = state;
  const current = getCurrentZoneRow(ownership);
  const self = getSelfMember(state);
  return current?.row.members.find((member) => {
    if (isSameMember(member, self)) return false;
    const handover = ownership.receivedHandovers.get(engine);
    const handedAt = isSameMember(handover?.predecessor, member) ? (handover?.epoch ?? 0) : 0;
    const seen = Math.max(getSeenEpoch(state, member), handedAt);
    for (let epoch = seen; epoch < current.row.epoch; epoch++) {
      const known = getZoneRowAtEpoch(ownership, epoch);
      if (known === undefined || isSameMember(getZoneRowOwner(known, engine), member)) return true;
    }
    return false;
  });
}

/** Whether the pins of the predecessor are known, or cannot matter any more. */
export function isTakeoverComplete(holding: AcquiredEngine, now: number): boolean {
  return (
    holding.predecessor === null ||
    holding.isHandedOver ||
    now >=
      getDestructiveOrdersAllowedAt(holding) -
        DESTRUCTIVE_ORDER_WAIT_MS +
        PREDECESSOR_REQUESTS_WAIT_MS
  );
}

/** Returns the monotonic ms from which destructive orders are allowed without a handover. */
export function getDestructiveOrdersAllowedAt({
  acquiredAt: since,
  predecessor,
}: AcquiredEngine): number {
  // A predecessor that was removed had no lease any more. One that was replaced by a restart of
  // the same host may have had one until its time to live ended.
  const lease = predecessor === undefined ? LEASE_TTL_MS * CLOCK_DRIFT_FACTOR : 0;
  return since + lease + DESTRUCTIVE_ORDER_WAIT_MS;
}

function getSeenEpoch(state: State, member: ZoneMember): number {
  const { ownership } = state;
  const told = ownership.acknowledgedEpochs.get(getMemberKey(member)) ?? 0;
  // Only a host itself adds itself to the row, so it has never acted by an earlier one.
  const joined = ownership.history.find(({ row }) =>
    row.members.some((one) => isSameMember(one, member)),
  );
  const epoch = joined?.row.epoch ?? 0;
  const isJoin = epoch === 1 || getZoneRowAtEpoch(ownership, epoch - 1) !== undefined;
  return Math.max(told, isJoin ? epoch : 0);
}

function newHolding(state: State, engine: string): AcquiredEngine {
  const { ownership } = state;
  const self = getSelfMember(state);
  let gained = ownership.history.length - 1;
  const isOwnAt = (index: number): boolean => {
    const known = ownership.history[index];
    return known !== undefined && isSameMember(getZoneRowOwner(known, engine), self);
  };
  const getEpoch = (index: number): number => ownership.history[index]?.row.epoch ?? 0;
  while (isOwnAt(gained - 1) && getEpoch(gained - 1) === getEpoch(gained) - 1) gained -= 1;
  const first = ownership.history[gained];
  const epoch = first?.row.epoch ?? 0;
  const before = getZoneRowAtEpoch(ownership, epoch - 1);
  const owner = before === undefined ? undefined : getZoneRowOwner(before, engine);
  // The same host under an earlier incarnation cannot hand anything over.
  const known = owner?.host === self.host ? undefined : owner;
  const predecessor = epoch === 1 ? null : known;
  const handover = ownership.receivedHandovers.get(engine);
  return {
    acquiredAt: Math.max(first?.seenAt ?? -Infinity, ownership.changedAt),
    epoch,
    predecessor,
    isHandedOver:
      predecessor !== null &&
      predecessor !== undefined &&
      isSameMember(handover?.predecessor, predecessor) &&
      (handover?.epoch ?? 0) >= epoch &&
      (handover?.isComplete ?? false),
    handoverRequestedAt: -Infinity,
  };
}
