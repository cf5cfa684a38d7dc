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

/** Returns the key of a member in `acknowledgedEpochs`. */
export function getMemberKey({ host, incarnation }: ZoneMember): string {
  return `${host}/${incarnation}`;
}

/** Records that `member` acknowledged `epoch`; returns whether it is higher than before. */
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

/** Acquires the assigned engines that no other member can act for; drops the lost ones. */
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
      ownership.acquiredEngines.set(id, newAcquiredEngine(state, id));
  }
}

/**
 * Returns a member that may still act as the owner of `engine` under an older row, or undefined.
 * Only members of the current row need a check: a removed member had no valid lease any more.
 */
export function getBlockingMember(state: State, engine: string): ZoneMember | undefined {
  const { ownership } = state;
  const current = getCurrentZoneRow(ownership);
  const self = getSelfMember(state);
  return current?.row.members.find((member) => {
    if (isSameMember(member, self)) return false;
    const handover = ownership.receivedHandovers.get(engine);
    const handoverEpoch = isSameMember(handover?.predecessor, member) ? (handover?.epoch ?? 0) : 0;
    const seenEpoch = Math.max(getSeenEpoch(state, member), handoverEpoch);
    for (let epoch = seenEpoch; epoch < current.row.epoch; epoch++) {
      const known = getZoneRowAtEpoch(ownership, epoch);
      if (known === undefined || isSameMember(getZoneRowOwner(known, engine), member)) return true;
    }
    return false;
  });
}

/** Whether there was no predecessor, its pins are known, or all of its requests have ended. */
export function isTakeoverComplete(acquired: AcquiredEngine, now: number): boolean {
  return (
    acquired.predecessor === null ||
    acquired.isHandedOver ||
    now >=
      getDestructiveOrdersAllowedAt(acquired) -
        DESTRUCTIVE_ORDER_WAIT_MS +
        PREDECESSOR_REQUESTS_WAIT_MS
  );
}

/** Returns the monotonic ms at which destructive orders are allowed without a handover. */
export function getDestructiveOrdersAllowedAt({ acquiredAt, predecessor }: AcquiredEngine): number {
  // A removed predecessor had no valid lease any more. An unknown one may be an earlier incarnation of
  // this host, which may have held a lease for the rest of its time to live.
  const lease = predecessor === undefined ? LEASE_TTL_MS * CLOCK_DRIFT_FACTOR : 0;
  return acquiredAt + lease + DESTRUCTIVE_ORDER_WAIT_MS;
}

function getSeenEpoch(state: State, member: ZoneMember): number {
  const { ownership } = state;
  const acknowledged = ownership.acknowledgedEpochs.get(getMemberKey(member)) ?? 0;
  // A host joins by adding itself to the row, so it never owned an engine under an earlier row.
  const joined = ownership.history.find(({ row }) =>
    row.members.some((other) => isSameMember(other, member)),
  );
  const epoch = joined?.row.epoch ?? 0;
  const isJoin = epoch === 1 || getZoneRowAtEpoch(ownership, epoch - 1) !== undefined;
  return Math.max(acknowledged, isJoin ? epoch : 0);
}

function newAcquiredEngine(state: State, engine: string): AcquiredEngine {
  const { ownership } = state;
  const self = getSelfMember(state);
  let firstOwned = ownership.history.length - 1;
  const isOwnAt = (index: number): boolean => {
    const known = ownership.history[index];
    return known !== undefined && isSameMember(getZoneRowOwner(known, engine), self);
  };
  const getEpoch = (index: number): number => ownership.history[index]?.row.epoch ?? 0;
  while (isOwnAt(firstOwned - 1) && getEpoch(firstOwned - 1) === getEpoch(firstOwned) - 1)
    firstOwned -= 1;
  const first = ownership.history[firstOwned];
  const epoch = first?.row.epoch ?? 0;
  const before = getZoneRowAtEpoch(ownership, epoch - 1);
  const owner = before === undefined ? undefined : getZoneRowOwner(before, engine);
  // An earlier incarnation of this host cannot send a handover.
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
