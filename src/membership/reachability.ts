import type { State } from '../core/state.ts';
import { HOST_UNREACHABLE_AFTER_MS, ZONE_UNREACHABLE_AFTER_MS } from './constants.ts';
import { getRelays, isFullMesh } from './hosts.ts';
import type { HostEntry } from './types.ts';

/** Ms without a link after which a host of this zone, or another zone, is unreachable. */
export interface UnreachableLimits {
  hostMs: number;
  zoneMs: number;
}

const DEFAULT_LIMITS: UnreachableLimits = {
  hostMs: HOST_UNREACHABLE_AFTER_MS,
  zoneMs: ZONE_UNREACHABLE_AFTER_MS,
};

/**
 * Whether a host is gone or has had no link for as long as the limit. Entries of a zone that is lost
 * as a whole are never marked as gone, but all its hosts are unreachable. Without a full mesh, only
 * relays can detect the loss of another zone.
 */
export function isHostUnreachable(
  state: State,
  { host, zone, state: hostState }: HostEntry,
  now: number,
  { hostMs, zoneMs }: UnreachableLimits = DEFAULT_LIMITS,
): boolean {
  if (host === state.host.id) return false;
  if (hostState === 'gone') return true;
  if (zone === state.host.zone) return getUnlinkedMs(state, host, now) >= hostMs;
  return isZoneUnreachable(state, zone, now, zoneMs);
}

/**
 * Returns this host and the live hosts that it can reach: the candidates for work that any one host
 * may do. Hosts with different views may choose different candidates, so the work may run twice.
 */
export function getReachableHosts(state: State, now: number): string[] {
  const live = [...state.membership.hosts.values()].filter(
    (entry) => entry.state === 'live' && !isHostUnreachable(state, entry, now),
  );
  return [...new Set([state.host.id, ...live.map(({ host }) => host)])];
}

/** Whether this host keeps links to the zone and has had none for `limitMs`. */
function isZoneUnreachable(state: State, zone: string, now: number, limitMs: number): boolean {
  const isMesh = isFullMesh(state);
  let isLinkable = false;
  for (const entry of state.membership.hosts.values()) {
    if (entry.zone !== zone) continue;
    const unlinkedMs = getUnlinkedMs(state, entry.host, now);
    // Without a full mesh, relays link to some hosts of the zone only; the others do not count.
    if (unlinkedMs < 0 && !isMesh) continue;
    if (unlinkedMs < limitMs) return false;
    isLinkable = true;
  }
  // getRelays hashes every host of the zone; calling it for each entry took most of a loop turn.
  return isLinkable && (isMesh || getRelays(state, state.host.zone).includes(state.host.id));
}

/** Returns ms since the link to `host` closed; 0 while it is open, -1 when there never was one. */
function getUnlinkedMs(state: State, host: string, now: number): number {
  const { linkedHosts, unlinkedSince } = state.membership;
  if (linkedHosts.has(host)) return 0;
  const since = unlinkedSince.get(host);
  return since === undefined ? -1 : now - since;
}
