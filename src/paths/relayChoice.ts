import { getRendezvousChoice } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import type { EndpointView } from '../fleet/types.ts';
import { isUnreachableFor } from '../owners/owner.ts';
import type { Member } from '../owners/types.ts';
import { DECLINED_PREFERENCE_MS, RELAY_AVOIDANCE_MS } from './constants.ts';
import { isPathLost } from './lostPaths.ts';
import type { Relay } from './types.ts';

/**
 * Returns the host through which requests to an endpoint go; undefined while this host reaches the endpoint
 * directly, or if no linked host could relay. A relay connects directly, so relays form no circle.
 */
export function getRelay(state: State, view: EndpointView, now: number): Relay | undefined {
  return isPathLost(state, view) ? findRelay(state, view, now) : undefined;
}

/** Returns a linked host that can relay to an endpoint; undefined if there is none. */
export function findRelay(
  state: State,
  { endpoint }: EndpointView,
  now: number,
): Relay | undefined {
  const { owners, host } = state;
  const usable = (owners.row?.members ?? []).filter(
    (member) =>
      member.host !== host.id &&
      owners.linkedHosts.has(member.host) &&
      !isAvoided(state, member.host, endpoint.id, now),
  );
  // Hosts that can't reach one endpoint probably can't reach others.
  const willing = usable.filter((member) => !isUnpromising(state, member, endpoint.id, now));
  // A relay in either zone sends no more bytes between zones than a direct connection does.
  const near = willing.filter(({ zone }) => zone === host.zone || zone === endpoint.zone);
  const candidates = [near, willing, usable].find(({ length }) => length > 0) ?? [];
  return chooseRelay(candidates, `${host.id}/${endpoint.id}`);
}

function isUnpromising({ paths }: State, member: Member, endpoint: string, now: number): boolean {
  const declinedAt = paths.declinedAt.get(member.host) ?? -Infinity;
  return declinedAt + DECLINED_PREFERENCE_MS > now || isUnreachableFor(member, endpoint);
}

/** Has a relay avoided for a time, for one endpoint or for all. */
export function avoidRelay(
  { paths }: State,
  relay: string,
  endpoint: string | undefined,
  now: number,
): void {
  for (const [key, until] of paths.avoidedRelays) if (until <= now) paths.avoidedRelays.delete(key);
  paths.avoidedRelays.set(getKey(relay, endpoint), now + RELAY_AVOIDANCE_MS);
}

function isAvoided({ paths }: State, relay: string, endpoint: string, now: number): boolean {
  const { avoidedRelays } = paths;
  const isAvoidedFor = (key: string): boolean => (avoidedRelays.get(key) ?? -Infinity) > now;
  return isAvoidedFor(getKey(relay)) || isAvoidedFor(getKey(relay, endpoint));
}

function getKey(relay: string, endpoint = ''): string {
  return `${relay} ${endpoint}`;
}

/** Chooses by rendezvous hashing, so that hosts and endpoints spread over the relays and keep theirs. */
function chooseRelay(members: readonly Member[], key: string): Relay | undefined {
  const choice = getRendezvousChoice(
    key,
    members.map(({ host }) => host),
  );
  const member = members.find(({ host }) => host === choice);
  return member === undefined ? undefined : { host: member.host, address: member.address };
}
