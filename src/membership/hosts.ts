import { getRendezvousOrder, hash32 } from '../base/hash.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import {
  MAX_FULL_MESH_HOSTS,
  GONE_TIMEOUT_MS,
  GONE_RETENTION_MS,
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

/** Returns the hosts that exchange news with other zones for `zone`, by rank. */
export function getRelays(state: State, zone: string): string[] {
  return getRendezvousOrder(`relay/${zone}`, getPresentHosts(state, zone)).slice(
    0,
    RELAYS_PER_ZONE,
  );
}

/** Whether the deployment is small enough for a link between any two hosts. */
export function isFullMesh(state: State): boolean {
  return state.membership.hosts.size <= MAX_FULL_MESH_HOSTS;
}

/** Returns the linked hosts of this host's zone. */
export function getZonePeers(state: State): string[] {
  const { hosts, linkedHosts: linked } = state.membership;
  return [...linked].filter((host) => hosts.get(host)?.zone === state.host.zone);
}

/** Returns the linked hosts of other zones. */
export function getPeersInOtherZones(state: State): string[] {
  const { hosts, linkedHosts: linked } = state.membership;
  return [...linked].filter((host) => {
    const zone = hosts.get(host)?.zone;
    return zone !== undefined && zone !== state.host.zone;
  });
}

/** Merges what `from` tells; returns whether the entry changed. */
export function mergeHostEntry(state: State, entry: HostEntry, from: string, now: number): boolean {
  const { hosts, goneSince, changedEntries: dirty } = state.membership;
  const known = hosts.get(entry.host);
  // Nothing is gained by learning of a host that is gone already.
  if (known === undefined && entry.state === 'gone') return false;
  const merged = known === undefined ? entry : mergeEntries(known, entry);
  if (merged === known) return false;
  hosts.set(entry.host, merged);
  if (merged.state !== 'gone') goneSince.delete(entry.host);
  else if (!goneSince.has(entry.host)) goneSince.set(entry.host, now);
  const hasNewVersion =
    known?.incarnation !== merged.incarnation || known.revision !== merged.revision;
  if (hasNewVersion) dirty.set(entry.host, from);
  return hasNewVersion;
}

/** Writes this host's own entry when its state changed or when others marked the host as gone. */
export function updateOwnEntry(state: State, wanted: HostState): void {
  const { hosts, changedEntries: dirty } = state.membership;
  const { id, zone, region, address, incarnation } = state.host;
  const known = hosts.get(id);
  const own = known?.incarnation === incarnation ? known : undefined;
  const configurationRevision = state.configuration.revision;
  if (own?.state === wanted && own.address === address) {
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
    state: wanted,
    protocol: PROTOCOL_VERSION,
    configurationRevision,
  });
  dirty.set(id, id);
}

/**
 * Marks hosts of this zone as gone that have had no link for long and that the zone row does not
 * name any more, and forgets those that are gone for long.
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
    effects.push(newLog('info', 'host is gone', { host: entry.host }));
  }
  for (const [host, since] of goneSince) {
    if (since + GONE_RETENTION_MS > now) continue;
    goneSince.delete(host);
    hosts.delete(host);
    unlinkedSince.delete(host);
  }
  return effects;
}

/** Returns (host, incarnation, revision) of all entries that others should have. */
export function getEntryVersions(state: State, now: number): [string, number, number][] {
  const { hosts, goneSince } = state.membership;
  // An entry that others may have removed already is not offered to them again.
  return [...hosts.values()]
    .filter(({ host }) => (goneSince.get(host) ?? now) + GONE_RETENTION_MS / 2 > now)
    .map(({ host, incarnation, revision }) => [host, incarnation, revision]);
}

/** Returns a hash of `getVersions` that does not depend on the order of entries. */
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
