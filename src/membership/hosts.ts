import { getRendezvousOrder, hash32 } from '../base/hash.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import {
  GONE_RETENTION_MS,
  GONE_TIMEOUT_MS,
  MAX_FULL_MESH_HOSTS,
  PROTOCOL_VERSION,
  RELAYS_PER_ZONE,
} from './constants.ts';
import { mergeEntries } from './reconcile.ts';
import type { HostEntry, HostState } from './types.ts';

/** Returns the hosts of `zone` that are live, this one included, in order of their ids. */
export function getLiveHosts(state: State, zone: string): string[] {
  return getHosts(state, zone, (entry) => entry.state === 'live');
}

/** Returns the hosts of `zone` that are not gone, in order of their ids. */
export function getPresentHosts(state: State, zone: string): string[] {
  return getHosts(state, zone, (entry) => entry.state !== 'gone');
}

/** Returns the zones with a host that is not gone, in order of their names. */
export function getZones(state: State): string[] {
  const zones = new Set<string>();
  for (const entry of state.membership.hosts.values()) {
    if (entry.state !== 'gone') zones.add(entry.zone);
  }
  return [...zones].sort();
}

/** Returns the relays of `zone` in order of rank. */
export function getRelays(state: State, zone: string): string[] {
  return getRendezvousOrder(`relay/${zone}`, getPresentHosts(state, zone)).slice(
    0,
    RELAYS_PER_ZONE,
  );
}

/** Whether the deployment is small enough to link every host with every other one. */
export function isFullMesh(state: State): boolean {
  return state.membership.hosts.size <= MAX_FULL_MESH_HOSTS;
}

/** Returns the linked hosts of this host's zone. */
export function getZonePeers(state: State): string[] {
  const { hosts, linkedHosts } = state.membership;
  return [...linkedHosts].filter((host) => hosts.get(host)?.zone === state.host.zone);
}

/** Returns the linked hosts of other zones. */
export function getPeersInOtherZones(state: State): string[] {
  const { hosts, linkedHosts } = state.membership;
  return [...linkedHosts].filter((host) => {
    const zone = hosts.get(host)?.zone;
    return zone !== undefined && zone !== state.host.zone;
  });
}

/** Merges an entry received from `from`; returns whether its incarnation or revision changed. */
export function mergeHostEntry(state: State, entry: HostEntry, from: string, now: number): boolean {
  const { hosts, goneSince, changedEntries } = state.membership;
  const known = hosts.get(entry.host);
  // An unknown host that is already gone needs no entry.
  if (known === undefined && entry.state === 'gone') return false;
  const merged = known === undefined ? entry : mergeEntries(known, entry);
  if (merged === known) return false;
  hosts.set(entry.host, merged);
  if (merged.state !== 'gone') goneSince.delete(entry.host);
  else if (!goneSince.has(entry.host)) goneSince.set(entry.host, now);
  const hasNewVersion =
    known?.incarnation !== merged.incarnation || known.revision !== merged.revision;
  if (hasNewVersion) changedEntries.set(entry.host, from);
  return hasNewVersion;
}

/** Writes this host's entry when its state or address changed or when others marked it as gone. */
export function updateOwnEntry(state: State, hostState: HostState): void {
  const { hosts, changedEntries } = state.membership;
  const { id, zone, region, address, incarnation } = state.host;
  const known = hosts.get(id);
  const own = known?.incarnation === incarnation ? known : undefined;
  const configurationRevision = state.configuration.revision;
  if (own?.state === hostState && own.address === address) {
    own.configurationRevision = configurationRevision;
    return;
  }
  hosts.set(id, {
    host: id,
    zone,
    region,
    address,
    incarnation,
    revision: (own?.revision ?? 0) + 1,
    state: hostState,
    protocol: PROTOCOL_VERSION,
    configurationRevision,
  });
  changedEntries.set(id, id);
}

/**
 * Marks hosts of this zone as gone that have had no link for `GONE_TIMEOUT_MS` and are not members
 * in the zone row, and deletes entries that have been gone for `GONE_RETENTION_MS`.
 */
export function updateGoneHosts(state: State, now: number): Effect[] {
  const { hosts, goneSince, unlinkedSince } = state.membership;
  const effects: Effect[] = [];
  const members = new Set(state.ownership.row?.members.map(({ host }) => host));
  for (const entry of hosts.values()) {
    if (entry.zone !== state.host.zone || entry.state === 'gone') continue;
    const since = unlinkedSince.get(entry.host) ?? now;
    if (members.has(entry.host) || since + GONE_TIMEOUT_MS > now) continue;
    const gone: HostEntry = { ...entry, revision: entry.revision + 1, state: 'gone' };
    mergeHostEntry(state, gone, state.host.id, now);
    effects.push(newLog('info', 'host marked as gone', { host: entry.host }));
  }
  for (const [host, since] of goneSince) {
    if (since + GONE_RETENTION_MS > now) continue;
    goneSince.delete(host);
    hosts.delete(host);
    unlinkedSince.delete(host);
  }
  return effects;
}

/** Returns (host, incarnation, revision) of the entries to compare with other hosts. */
export function getEntryVersions(state: State, now: number): [string, number, number][] {
  const { hosts, goneSince } = state.membership;
  // Other hosts may have deleted an entry that has been gone for long; it must not be sent to them
  // again.
  return [...hosts.values()]
    .filter(({ host }) => (goneSince.get(host) ?? now) + GONE_RETENTION_MS / 2 > now)
    .map(({ host, incarnation, revision }) => [host, incarnation, revision]);
}

/** Returns a hash of `getEntryVersions` that does not depend on the order of entries. */
export function getEntryDigest(state: State, now: number): number {
  let sum = 0;
  for (const version of getEntryVersions(state, now)) sum = (sum + hash32(version.join('/'))) >>> 0;
  return sum;
}

function getHosts(state: State, zone: string, accept: (entry: HostEntry) => boolean): string[] {
  const found: string[] = [];
  for (const entry of state.membership.hosts.values()) {
    if (entry.zone === zone && accept(entry)) found.push(entry.host);
  }
  return found.sort();
}
