import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { getRelays, isFullMesh } from '../membership/hosts.ts';
import type { HostEntry } from '../membership/types.ts';
import { HOST_SILENT_MS, TAKEOVER_AGAIN_MS, WATCH_MS, ZONE_SILENT_MS } from './constants.ts';
import { isDraftSuccessor, takeOverDrafts } from './takeover.ts';

/** Takes over the drafts of hosts that have had no link for a while, where this host is the one to do so. */
export function watchHosts(state: State, now: number): Effect[] {
  schedule(state, now + WATCH_MS, { type: 'watchDraftHosts' });
  const { takenAt } = state.drafts;
  const effects: Effect[] = [];
  for (const entry of state.membership.hosts.values()) {
    const { host } = entry;
    if (!isSilent(state, entry, now)) takenAt.delete(host);
    else if ((takenAt.get(host) ?? -Infinity) + TAKEOVER_AGAIN_MS <= now) {
      takenAt.set(host, now);
      if (isDraftSuccessor(state, host)) effects.push(...takeOverDrafts(state, host, now));
    }
  }
  return effects;
}

/** A false alarm costs a second run of a draft; its result is written once all the same. */
function isSilent(state: State, { host, zone, state: known }: HostEntry, now: number): boolean {
  if (host === state.host.id) return false;
  if (known === 'gone') return true;
  if (zone === state.host.zone) return getSilence(state, host, now) >= HOST_SILENT_MS;
  return isZoneSilent(state, zone, now);
}

/** Whether this host should have links to the zone and has had none for a while. */
function isZoneSilent(state: State, zone: string, now: number): boolean {
  const { id, zone: own } = state.host;
  if (!isFullMesh(state) && !getRelays(state, own).includes(id)) return false;
  const hosts = [...state.membership.hosts.values()].filter((entry) => entry.zone === zone);
  const silences = hosts.map(({ host }) => getSilence(state, host, now));
  // Relays have links to some hosts of the zone only; those without one say nothing.
  const linkable = isFullMesh(state) ? silences : silences.filter((silence) => silence >= 0);
  return linkable.length > 0 && linkable.every((silence) => silence >= ZONE_SILENT_MS);
}

/** Returns ms since the link to `host` closed; 0 while it is open, -1 when there never was one. */
function getSilence(state: State, host: string, now: number): number {
  const { linked, unlinkedSince } = state.membership;
  if (linked.has(host)) return 0;
  const since = unlinkedSince.get(host);
  return since === undefined ? -1 : now - since;
}
