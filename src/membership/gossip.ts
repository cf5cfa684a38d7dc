import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { MAX_MESSAGE_ENTRIES } from './constants.ts';
import {
  getEntryDigest,
  getEntryVersions,
  getPeersInOtherZones,
  getRelays,
  getZonePeers,
  updateOwnEntry,
} from './hosts.ts';
import type { HostEntry, MembershipVersions } from './types.ts';

/** Announces to all linked hosts that this host is gone; the last step of a graceful shutdown. */
export function announceShutdown(state: State): Effect[] {
  updateOwnEntry(state, 'gone');
  return sendChangedEntries(state);
}

/**
 * Sends changed entries. Those that this host wrote go to all linked hosts. A relay also forwards
 * those received from its zone to the other zones, and those received from other zones to its zone.
 */
export function sendChangedEntries(state: State): Effect[] {
  const { hosts, changedEntries } = state.membership;
  if (changedEntries.size === 0) return [];
  const isRelay = getRelays(state, state.host.zone).includes(state.host.id);
  const own: HostEntry[] = [];
  const fromOtherZones: HostEntry[] = [];
  const fromOwnZone: HostEntry[] = [];
  for (const [host, from] of changedEntries) {
    const entry = hosts.get(host);
    if (entry === undefined) continue;
    if (from === state.host.id) own.push(entry);
    else if (!isRelay) continue;
    else if (hosts.get(from)?.zone === state.host.zone) fromOwnZone.push(entry);
    else fromOtherZones.push(entry);
  }
  changedEntries.clear();
  return [
    ...sendEntries(state, getZonePeers(state), [...own, ...fromOtherZones]),
    ...sendEntries(state, getPeersInOtherZones(state), [...own, ...fromOwnZone]),
  ];
}

/** Sends `entries` to each of `peers`. */
export function sendEntries(state: State, peers: string[], entries: HostEntry[]): Effect[] {
  const effects: Effect[] = [];
  for (let at = 0; at < entries.length; at += MAX_MESSAGE_ENTRIES) {
    const part = entries.slice(at, at + MAX_MESSAGE_ENTRIES);
    for (const to of peers) {
      effects.push(sendMessage(state, to, { type: 'membershipDelta', entries: part }));
    }
  }
  return effects;
}

/** Sends a digest of all entries to a random linked host. */
export function sendDigest(state: State, now: number): Effect[] {
  const peers = [...state.membership.linkedHosts];
  const peer = peers[state.random.getInteger(Math.max(1, peers.length))];
  if (peer === undefined) return [];
  return [sendMessage(state, peer, { type: 'membershipDigest', hash: getEntryDigest(state, now) })];
}

/** Sends the versions of all entries when `hash` differs from this host's digest. */
export function answerDigest(state: State, hash: number, from: string, now: number): Effect[] {
  if (getEntryDigest(state, now) === hash) return [];
  const versions = getEntryVersions(state, now);
  return [sendMessage(state, from, { type: 'membershipVersions', versions })];
}

/** Sends the entries that are newer on this host and requests those that are newer on `from`. */
export function answerVersions(
  state: State,
  { versions }: MembershipVersions,
  from: string,
  now: number,
): Effect[] {
  const { hosts } = state.membership;
  const theirs = new Map(
    versions.map(([host, incarnation, revision]) => [host, [incarnation, revision]]),
  );
  const compare = (host: string, incarnation: number, revision: number): number => {
    const [theirIncarnation = -1, theirRevision = -1] = theirs.get(host) ?? [];
    return incarnation - theirIncarnation || revision - theirRevision;
  };
  const newer = getEntryVersions(state, now)
    .filter((version) => compare(...version) > 0)
    .flatMap(([host]) => hosts.get(host) ?? []);
  const outdated = versions
    .filter(([host, incarnation, revision]) => {
      const known = hosts.get(host);
      if (known === undefined) return true;
      return (incarnation - known.incarnation || revision - known.revision) > 0;
    })
    .map(([host]) => host);
  const effects = sendEntries(state, [from], newer);
  if (outdated.length > 0) {
    effects.push(sendMessage(state, from, { type: 'membershipWanted', hosts: outdated }));
  }
  return effects;
}
