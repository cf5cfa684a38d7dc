import type { State } from '../core/state.ts';
import { HOST_UNREACHABLE_AFTER_MS, ZONE_UNREACHABLE_AFTER_MS } from './constants.ts';
import { getRelays, isFullMesh } from './hosts.ts';
import type { HostEntry } from './types.ts';

/** Ms without a link after which a host of this zone, or another zone, is silent. */
export interface UnreachableLimits {
  hostMs: number;
  zoneMs: number;
}

const SILENCE_LIMITS: UnreachableLimits = {
  hostMs: HOST_UNREACHABLE_AFTER_MS,
  zoneMs: ZONE_UNREACHABLE_AFTER_MS,
};

/**
 * Whether a host is gone or has had no link for a while. Entries of a zone that is lost as a whole
 * are never marked as gone; all its hosts are silent then. Where the mesh is not full, only relays
 * can tell that of another zone.
 */
export function isHostUnreachable(
  state: State,
  { host, zone, state: known }: HostEntry,
  now: number,
  { hostMs, zoneMs }: UnreachableLimits = SILENCE_LIMITS,
): boolean {
  if (host === state.host.id) return false;
  if (known === 'gone') return true;
  if (zone === state.host.zone) return getSilence(state, host, now) >= hostMs;
  return isZoneSilent(state, zone, now, zoneMs);
}

/**
 * Returns this host and the live hosts that are not silent, from which one is chosen for work that
 * any host may do. Two hosts with different views may both be chosen.
 */
export function getReachableHosts(state: State, now: number): string[] {
  const live = [...state.membership.hosts.values()].filter(
    (entry) => entry.state === 'live' && !isHostUnreachable(state, entry, now),
  );
  return [...new Set([state.host.id, ...live.map(({ host }) => host)])];
}

/** Whether this host should have links to the zone and has had none for a while. */
function isZoneSilent(state: State, zone: string, now: number, limitMs: number): boolean {
  const isMesh = isFullMesh(state);
  let isLinkable = false;
  for (const entry of state.membership.hosts.values()) {
    if (entry.zone !== zone) continue;
    const silence = getSilence(state, entry.host, now);
    // Relays have links to some hosts of the zone only; those without one say nothing.
    if (silence < 0 && !isMesh) continue;
    if (silence < limitMs) return false;
    isLinkable = true;
  }
  // The choice of relays hashes every host of the zone; asked for each entry, it took most of a turn.
  return isLinkable && (isMesh || getRelays(state, state.host.zone).includes(state.host.id));
}

/** Returns ms since the link to `host` closed; 0 while it is open, -1 when there never was one. */
function getSilence(state: State, host: string, now: number): number {
  const { linkedHosts: linked, unlinkedSince } = state.membership;
  if (linked.has(host)) return 0;
  const since = unlinkedSince.get(host);
  return since === undefined ? -1 : now - since;
}
