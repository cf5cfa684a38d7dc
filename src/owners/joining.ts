import { getRendezvousChoice } from '../base/hash.ts';
import type { Effect } from '../core/effects.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import {
  JOIN_BATCH_MS,
  JOIN_LINK_CHECK_MS,
  JOIN_LINK_TIMEOUT_MS,
  JOIN_REPEAT_MS,
  JOIN_TIMEOUT_MS,
} from './constants.ts';
import { writeMembersRow } from './members.ts';
import { getMember } from './owner.ts';
import type { JoinRequest, Member } from './types.ts';

/**
 * Asks a member to add this host to the row. Returns undefined if this host has to write the row itself:
 * there are no members, none has added it in time, or it owns engines, which wait for it. Hosts that start
 * together would otherwise refuse each other's writes.
 */
export function requestJoin(state: State, entry: Member, now: number): Effect[] | undefined {
  const { owners } = state;
  if (owners.row === undefined || owners.row.members.length === 0 || entry.isOwner)
    return undefined;
  owners.joinStartedAt ??= now;
  if (now >= owners.joinStartedAt + JOIN_TIMEOUT_MS) return undefined;
  const recruiter = findRecruiter(state);
  if (recruiter === undefined) {
    if (now >= owners.joinStartedAt + JOIN_LINK_TIMEOUT_MS) return undefined;
    schedule(state, now + JOIN_LINK_CHECK_MS, { type: 'joinMembers' });
    return [];
  }
  if (now < owners.joinAskedAt + JOIN_REPEAT_MS) return [];
  owners.joinAskedAt = now;
  schedule(state, now + JOIN_REPEAT_MS, { type: 'joinMembers' });
  return [sendMessage(state, recruiter, { type: 'joinAsked', member: entry })];
}

/** Records that a host wants to join; it is added with the others that ask soon. */
export function handleJoinRequest(
  state: State,
  { member }: JoinRequest,
  from: string,
  now: number,
): Effect[] {
  if (member.host !== from) return [];
  state.owners.joiners.set(from, member);
  scheduleAdmission(state, now);
  return [];
}

/** Adds the hosts that asked for it to the row, and checks again until all are members. */
export function admitJoiners(state: State, now: number): Effect[] {
  const { owners, host } = state;
  owners.isAdmissionScheduled = false;
  for (const [id, { incarnation }] of owners.joiners) {
    const known = getMember(owners, id);
    if (known !== undefined && known.incarnation >= incarnation) owners.joiners.delete(id);
  }
  // A host that is no member itself leaves it to those that ask.
  if (owners.isLeaving || getMember(owners, host.id) === undefined) owners.joiners.clear();
  if (owners.joiners.size === 0) return [];
  scheduleAdmission(state, now);
  const joining = [...owners.joiners.values()];
  return writeMembersRow(
    state,
    (members) => [
      ...members.filter((member) => !owners.joiners.has(member.host)),
      ...joining.map((entry) => ({ ...entry, isOwner: wasOwner(members, entry) })),
    ],
    now,
  );
}

function scheduleAdmission(state: State, now: number): void {
  const { owners } = state;
  if (owners.isAdmissionScheduled) return;
  owners.isAdmissionScheduled = true;
  schedule(state, now + JOIN_BATCH_MS, { type: 'admitJoiners' });
}

/** A restarted member keeps its role, a new one starts as standby. */
function wasOwner(members: readonly Member[], { host }: Member): boolean {
  return members.find((member) => member.host === host)?.isOwner ?? false;
}

/** Returns the member that adds hosts to the row, among those with a link to this one. */
function findRecruiter({ owners, host }: State): string | undefined {
  const linked = owners.row?.members.filter(
    (member) => member.host !== host.id && owners.linkedHosts.has(member.host),
  );
  return getRendezvousChoice('join', linked?.map((member) => member.host) ?? []);
}
