import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { DirectoryWriteAnswer } from '../directory/types.ts';
import { splitDirectoryVersion } from '../directory/versions.ts';
import { requestTopicChanges } from '../directory/peerChanges.ts';
import { isRoutable } from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
import { dropRelay } from '../paths/pathOutcomes.ts';
import { getEngineClass } from '../residency/reservations.ts';
import { updatePrimaries } from '../quotas/accountants.ts';
import { updateOwnedEngines } from '../residency/ownedEngines.ts';
import {
  MAX_JOIN_JITTER_MS,
  MAX_ENGINES_PER_OWNER,
  REFUTE_TIMEOUT_MS,
  SUSPECT_AFTER_MS,
  SUSPICION_COOLDOWN_MS,
  EPOCHS_PER_RESTORE,
  MAINTAIN_INTERVAL_MS,
  WRITE_RETRY_MAX_MS,
  WRITE_RETRY_BASE_MS,
} from './constants.ts';
import { getRendezvousChoice } from '../base/hash.ts';
import { requestJoin } from './joining.ts';
import { chooseCapableMember, ensureOwners, getMember, recordFormerRow } from './owner.ts';
import { updateOwnReachability } from './reachability.ts';
import type { Member, MembersRow, Owners } from './types.ts';

/** Schedules the join after a random delay and the periodic maintenance of the members row. */
export function startOwners(state: State, now: number): Effect[] {
  state.owners.startedAt = now;
  const jitter = MAX_JOIN_JITTER_MS * state.random.getFraction();
  schedule(state, now + jitter, { type: 'joinMembers' });
  schedule(state, now + MAINTAIN_INTERVAL_MS, { type: 'maintainMembers' });
  return [];
}

/** Adopts a members row if its epoch is higher. `version` is undefined for a row from a peer. */
export function adoptMembersRow(
  state: State,
  row: MembersRow,
  version: number | undefined,
  now: number,
): Effect[] {
  const { owners } = state;
  const previous = owners.row;
  const knownEpoch = previous?.epoch ?? 0;
  if (row.epoch < knownEpoch) {
    if (version !== undefined && version > (owners.version ?? 0))
      recordLostMembersRow(owners, version);
    return [];
  }
  if (version !== undefined) {
    owners.version = version;
    owners.isRowLost = false;
  }
  if (row.epoch === knownEpoch) return [];
  if (version === undefined) owners.version = undefined;
  recordFormerRow(owners, now);
  owners.previousRow = previous;
  owners.adoptedAt = now;
  owners.row = row;
  owners.ownerByEngine.clear();
  updatePrimaries(state);
  recordSuspicions(state, row, now);
  return [
    newLog('info', 'members row changed', {
      epoch: row.epoch,
      members: row.members.map(({ host }) => host),
    }),
    ...updateOwnedEngines(state, now),
    ...updateLinks(state, previous, row),
    ...joinMembers(state, now),
  ];
}

/**
 * Tells linked hosts that are no members of the row that was read. A host that was removed without
 * learning of it would own its engines and hand out their permits beside its successor.
 */
export function notifyRemovedHosts(state: State): Effect[] {
  const { row, linkedHosts } = state.owners;
  if (row === undefined) return [];
  const members = new Set(row.members.map(({ host }) => host));
  return [...linkedHosts]
    .filter((host) => !members.has(host))
    .map((host) => sendMessage(state, host, { type: 'membersRowSeen', epoch: row.epoch }));
}

/** Requests the members row from a host that has read a newer one. */
export function handleMembersRowSeen(state: State, epoch: number, from: string): Effect[] {
  const isNewer = epoch > (state.owners.row?.epoch ?? 0);
  return isNewer ? [requestTopicChanges(state, 'members', from)] : [];
}

/**
 * Records that the directory has an older row than this host, or none (`version` 0), as it does after it
 * came back from an older copy.
 */
export function recordLostMembersRow(owners: Owners, version: number): void {
  owners.version = version;
  owners.isRowLost = true;
}

/** Adds this host to the row if it is missing, and refutes a suspicion against it. */
export function joinMembers(state: State, now: number): Effect[] {
  const { owners, directory } = state;
  if (owners.isLeaving || directory.topics.members.version === undefined) return [];
  const own = getMember(owners, state.host.id);
  const isCurrent = own?.incarnation === state.host.incarnation;
  if (isCurrent) owners.joinStartedAt = undefined;
  if (isCurrent && own.suspectedBy === undefined) return [];
  const entry = newOwnEntry(state);
  // A suspicion has to be refuted in time, which no other host can do.
  const asked = isCurrent ? undefined : requestJoin(state, entry, now);
  if (asked !== undefined) return asked;
  return writeMembersRow(
    state,
    (members) => [...withoutHosts(members, [state.host.id]), entry],
    now,
  );
}

/** Removes this host from the row, so that other hosts own its engines. */
export function leaveMembers(state: State, now: number): Effect[] {
  const { owners } = state;
  owners.isLeaving = true;
  if (getMember(owners, state.host.id) === undefined) return [];
  return writeMembersRow(state, (members) => withoutHosts(members, [state.host.id]), now);
}

/**
 * Joins the row, removes members that did not refute in time, suspects silent ones, or makes this host
 * an owner if the zone needs another one.
 */
export function maintainMembers(state: State, now: number): Effect[] {
  schedule(state, now + MAINTAIN_INTERVAL_MS, { type: 'maintainMembers' });
  const { owners, directory } = state;
  if (owners.isLeaving) return leaveMembers(state, now);
  if (directory.topics.members.unavailableSince !== undefined) return [];
  if (owners.isRowLost && owners.row !== undefined)
    return writeMembersRow(state, (members) => [...members], now);
  // Runs without a row too: the first read may be answered after the first attempt to join.
  const effects = joinMembers(state, now);
  if (effects.length > 0 || owners.row === undefined) return effects;
  const removed = owners.row.members.filter((member) => isOverdue(state, member, now));
  if (removed.length > 0) {
    const hosts = removed.map(({ host }) => host);
    return writeMembersRow(state, (members) => withoutHosts(members, hosts), now);
  }
  const silent = owners.row.members.filter((member) => trackSilence(state, member, now));
  if (silent.length === 0)
    return [...becomeOwner(state, now), ...updateOwnReachability(state, now)];
  const hosts = new Set(silent.map(({ host }) => host));
  return writeMembersRow(
    state,
    (members) =>
      members.map((member) =>
        hosts.has(member.host) ? { ...member, suspectedBy: state.host.id } : member,
      ),
    now,
  );
}

/** Adopts the written or the conflicting row, and schedules a retry of a failed write. */
export function handleMembersWriteAnswer(
  state: State,
  row: MembersRow,
  answer: DirectoryWriteAnswer,
  now: number,
): Effect[] {
  const { owners } = state;
  owners.isWriting = false;
  if (answer.type === 'written') {
    owners.failedWrites = 0;
    return adoptMembersRow(state, row, answer.version, now);
  }
  const maxDelayMs = Math.min(WRITE_RETRY_MAX_MS, WRITE_RETRY_BASE_MS * 2 ** owners.failedWrites);
  owners.failedWrites = Math.min(owners.failedWrites + 1, 8);
  owners.nextWriteAt = now + maxDelayMs * state.random.getFraction();
  schedule(state, owners.nextWriteAt, { type: 'joinMembers' });
  if (answer.type === 'conflict') {
    const { current } = answer;
    // A row that is absent or malformed is replaced.
    if (current?.content.type !== 'members') recordLostMembersRow(owners, current?.version ?? 0);
    else return adoptMembersRow(state, current.content.row, current.version, now);
    return [];
  }
  return [newLog('warn', 'write of the members row failed', { reason: answer.reason })];
}

/** Records that a link opened. */
export function recordLinkOpened({ owners }: State, host: string): void {
  owners.linkedHosts.add(host);
  owners.linkClosedAt.delete(host);
}

/** Starts the silence timer of a member whose link closed; drops the link to any other host. */
export function recordLinkClosed({ owners }: State, host: string, now: number): Effect[] {
  owners.linkedHosts.delete(host);
  if (getMember(owners, host) === undefined) return [{ type: 'closeLink', host }];
  owners.linkClosedAt.set(host, now);
  return [];
}

/** Returns this host's entry: a restarted member keeps its role, a new one starts as standby. */
function newOwnEntry({ host, owners }: State): Member {
  return {
    host: host.id,
    incarnation: host.incarnation,
    zone: host.zone,
    address: host.address,
    isOwner: getMember(owners, host.id)?.isOwner ?? false,
    capacity: host.capacity,
  };
}

/**
 * Makes this host an owner if it is the preferred standby host of its zone and the owners of the zone
 * have too many engines.
 */
function becomeOwner(state: State, now: number): Effect[] {
  const { owners, host, fleet } = state;
  const zoneMembers = owners.row?.members.filter(({ zone }) => zone === host.zone) ?? [];
  const standby = zoneMembers.filter(({ isOwner }) => !isOwner);
  if (chooseCapableMember(host.zone, standby) !== host.id) return [];
  let engines = 0;
  for (const view of fleet.views.values()) {
    if (view.endpoint.zone === host.zone && isRoutableEngine(state, view)) engines += 1;
  }
  if (engines <= (zoneMembers.length - standby.length) * MAX_ENGINES_PER_OWNER) return [];
  return writeMembersRow(
    state,
    (members) =>
      members.map((member) => (member.host === host.id ? { ...member, isOwner: true } : member)),
    now,
  );
}

function isRoutableEngine(state: State, view: EndpointView): boolean {
  return isRoutable(view) && getEngineClass(state, view) !== undefined;
}

function withoutHosts(members: readonly Member[], hosts: readonly string[]): Member[] {
  return members.filter(({ host }) => !hosts.includes(host));
}

/** Writes the members row with a change, unless a write is in flight or failed shortly before. */
export function writeMembersRow(
  state: State,
  change: (members: readonly Member[]) => Member[],
  now: number,
): Effect[] {
  const { owners } = state;
  if (owners.isWriting || now < owners.nextWriteAt) return [];
  // A row received from a peer has no version to write against; the directory watch delivers it.
  if (owners.row !== undefined && owners.version === undefined) return [];
  owners.isWriting = true;
  const row: MembersRow = {
    epoch: Math.max(owners.row?.epoch ?? 0, getEpochFloor(state)) + 1,
    members: ensureOwners(change(owners.row?.members ?? [])),
  };
  return [{ type: 'writeRow', content: { type: 'members', row }, version: owners.version ?? 0 }];
}

/**
 * Returns a number below all epochs since the directory was last restored and above those before. A host
 * may write on top of an older copy before it learns of the epochs that were lost.
 */
function getEpochFloor({ directory }: State): number {
  const { version = 0 } = directory.topics.members;
  return splitDirectoryVersion(version).restores * EPOCHS_PER_RESTORE;
}

function recordSuspicions({ owners }: State, row: MembersRow, now: number): void {
  for (const host of [...owners.suspectedAt.keys()]) {
    const suspected = row.members.some((member) => member.host === host && member.suspectedBy);
    if (suspected) continue;
    owners.suspectedAt.delete(host);
    // The member refuted the suspicion or restarted: restart its silence timer.
    if (owners.linkClosedAt.has(host)) owners.linkClosedAt.set(host, now + SUSPICION_COOLDOWN_MS);
  }
  for (const { host, suspectedBy } of row.members) {
    if (suspectedBy !== undefined && !owners.suspectedAt.has(host))
      owners.suspectedAt.set(host, now);
  }
}

function updateLinks(state: State, previous: MembersRow | undefined, row: MembersRow): Effect[] {
  const effects: Effect[] = [];
  const hosts = new Set(row.members.map(({ host }) => host));
  for (const { host, address } of row.members) {
    if (host !== state.host.id) effects.push({ type: 'openLink', host, address });
  }
  for (const { host } of previous?.members ?? []) {
    if (hosts.has(host) || host === state.host.id) continue;
    state.owners.linkClosedAt.delete(host);
    effects.push(...dropRelay(state, host));
    // A stopping host requests reservations until its requests have ended, so its link stays open.
    if (!state.owners.linkedHosts.has(host)) effects.push({ type: 'closeLink', host });
  }
  return effects;
}

/** Starts the silence timer of a member without a link; returns whether it has expired. */
function trackSilence(
  { owners, host: own }: State,
  { host, suspectedBy }: Member,
  now: number,
): boolean {
  if (host === own.id || suspectedBy !== undefined || owners.linkedHosts.has(host)) return false;
  const closedAt = owners.linkClosedAt.get(host);
  if (closedAt === undefined) {
    owners.linkClosedAt.set(host, now);
    return false;
  }
  if (closedAt + SUSPECT_AFTER_MS > now) return false;
  // After twice the time any host suspects it, in case the chosen one cannot.
  return closedAt + 2 * SUSPECT_AFTER_MS <= now || isChosenToSuspect(owners, own.id, host);
}

/** Whether this host is the one of its linked members that suspects `host`, so that not all of them write. */
function isChosenToSuspect({ row, linkedHosts }: Owners, own: string, host: string): boolean {
  const able = row?.members.filter((member) => member.host === own || linkedHosts.has(member.host));
  return getRendezvousChoice(host, able?.map((member) => member.host) ?? []) === own;
}

/** Whether a suspected member did not refute in time and this host has to remove it. */
function isOverdue(state: State, { host, suspectedBy }: Member, now: number): boolean {
  const { owners } = state;
  const since = owners.suspectedAt.get(host);
  if (suspectedBy === undefined || since === undefined || host === state.host.id) return false;
  if (since + REFUTE_TIMEOUT_MS > now) return false;
  // After twice the time any host may remove it, in case the chosen host cannot.
  if (since + 2 * REFUTE_TIMEOUT_MS <= now) return true;
  const others = owners.row?.members.filter((member) => member.suspectedBy === undefined) ?? [];
  return (
    getRendezvousChoice(
      host,
      others.map((member) => member.host),
    ) === state.host.id
  );
}
