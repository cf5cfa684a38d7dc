import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { ON_DEMAND_LINK_MS } from './constants.ts';
import { getRelays, getZones, isFullMesh } from './hosts.ts';
import type { ListedHost } from './types.ts';

/** Opens a link to a host outside the mesh, or keeps it open for another `ON_DEMAND_LINK_MS`. */
export function openOnDemandLink(state: State, host: string, now: number): Effect[] {
  state.membership.onDemandUntil.set(host, now + ON_DEMAND_LINK_MS);
  return state.membership.requestedLinks.has(host) ? [] : updateLinks(state, now);
}

/** Opens the links that this host needs and closes those that it no longer needs. */
export function updateLinks(state: State, now: number): Effect[] {
  const { requestedLinks, onDemandUntil } = state.membership;
  for (const [host, until] of onDemandUntil) if (until <= now) onDemandUntil.delete(host);
  const needed = getNeededLinks(state);
  const effects: Effect[] = [];
  for (const [host, address] of needed) {
    const old = requestedLinks.get(host);
    if (old === address) continue;
    if (old !== undefined) effects.push({ type: 'closeLink', host });
    requestedLinks.set(host, address);
    effects.push({ type: 'openLink', host, address });
  }
  for (const host of requestedLinks.keys()) {
    if (needed.has(host)) continue;
    requestedLinks.delete(host);
    effects.push({ type: 'closeLink', host });
  }
  return effects;
}

/** Records the addresses of listed hosts that have no entry yet. */
export function updateAddressHints(state: State, entries: ListedHost[]): void {
  const { addressHints, hosts } = state.membership;
  for (const host of addressHints.keys()) if (hosts.has(host)) addressHints.delete(host);
  for (const { id, kind, address, zone } of entries) {
    if (kind === 'entry' && !hosts.has(id)) addressHints.set(id, { zone, address });
  }
}

/**
 * Returns the hosts that this one needs a link to, with their addresses. Hosts that are gone stay
 * included until their entries are deleted, since they may only be cut off by a network partition.
 */
function getNeededLinks(state: State): Map<string, string> {
  const { hosts, addressHints, onDemandUntil } = state.membership;
  const { id, zone } = state.host;
  const needed = new Map<string, string>();
  const relays = new Set<string>();
  const isMesh = isFullMesh(state);
  const zones = new Set(getZones(state));
  const isRelay = getRelays(state, zone).includes(id);
  if (isRelay && !isMesh) {
    for (const other of zones) for (const relay of getRelays(state, other)) relays.add(relay);
  }
  for (const entry of hosts.values()) {
    const { host } = entry;
    if (host === id) continue;
    const isNeeded = isMesh || entry.zone === zone || relays.has(host) || onDemandUntil.has(host);
    if (isNeeded) needed.set(host, entry.address);
  }
  for (const [host, hint] of addressHints) {
    if (host === id || hosts.has(host)) continue;
    const isUnknownZone = isRelay && !zones.has(hint.zone);
    const isNeeded = isMesh || hint.zone === zone || isUnknownZone || onDemandUntil.has(host);
    if (isNeeded) needed.set(host, hint.address);
  }
  return needed;
}
