import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { ON_DEMAND_LINK_MS } from './constants.ts';
import { getRelays, getZones, isFullMesh } from './hosts.ts';
import type { ListedHost } from './types.ts';

/** Opens a link to a host outside the mesh, or keeps it open for another minute. */
export function openOnDemandLink(state: State, host: string, now: number): Effect[] {
  state.membership.onDemandUntil.set(host, now + ON_DEMAND_LINK_MS);
  return state.membership.requestedLinks.has(host) ? [] : updateLinks(state, now);
}

/** Orders the links that are missing and closes those that are not wanted any more. */
export function updateLinks(state: State, now: number): Effect[] {
  const { requestedLinks: ordered, onDemandUntil: wantedUntil } = state.membership;
  for (const [host, until] of wantedUntil) if (until <= now) wantedUntil.delete(host);
  const wanted = getWantedLinks(state);
  const effects: Effect[] = [];
  for (const [host, address] of wanted) {
    const old = ordered.get(host);
    if (old === address) continue;
    if (old !== undefined) effects.push({ type: 'closeLink', host });
    ordered.set(host, address);
    effects.push({ type: 'openLink', host, address });
  }
  for (const host of ordered.keys()) {
    if (wanted.has(host)) continue;
    ordered.delete(host);
    effects.push({ type: 'closeLink', host });
  }
  return effects;
}

/** Takes the host list as a hint at hosts that no entry tells of yet. */
export function updateAddressHints(state: State, entries: ListedHost[]): void {
  const { addressHints: hints, hosts } = state.membership;
  for (const host of hints.keys()) if (hosts.has(host)) hints.delete(host);
  for (const { id, kind, address, zone } of entries) {
    if (kind === 'entry' && !hosts.has(id)) hints.set(id, { zone, address });
  }
}

/** Hosts that are gone are dialled until their entry is forgotten: they may be cut off only. */
function getWantedLinks(state: State): Map<string, string> {
  const { hosts, addressHints: hints, onDemandUntil: wantedUntil } = state.membership;
  const { id, zone } = state.host;
  const wanted = new Map<string, string>();
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
    const isWanted = isMesh || entry.zone === zone || relays.has(host) || wantedUntil.has(host);
    if (isWanted) wanted.set(host, entry.address);
  }
  for (const [host, hint] of hints) {
    if (host === id || hosts.has(host)) continue;
    const isUnknownZone = isRelay && !zones.has(hint.zone);
    const isWanted = isMesh || hint.zone === zone || isUnknownZone || wantedUntil.has(host);
    if (isWanted) wanted.set(host, hint.address);
  }
  return wanted;
}
