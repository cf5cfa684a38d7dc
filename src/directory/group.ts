import { getRendezvousChoice } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import { READER_HEARTBEAT_TIMEOUT_MS, MIN_ZONE_GROUP_MEMBERS } from './constants.ts';

/** Whether the reader of the group told lately that it is in touch, so that this host need not be. */
export function isFollower(state: State, now: number): boolean {
  return state.directory.lastHeartbeatAt + READER_HEARTBEAT_TIMEOUT_MS > now && !isReader(state);
}

/** Whether this host watches for others as well. */
export function hasFollowers(state: State): boolean {
  return isReader(state) && getFollowers(state).length > 0;
}

/** Whether this host reads for its group, as far as it can tell. */
export function isReader(state: State): boolean {
  return getRendezvousChoice('directory', getGroup(state)) === state.host.id;
}

/** Returns the linked hosts of the group of a reader. */
export function getFollowers(state: State): string[] {
  return getGroup(state).filter((host) => host !== state.host.id);
}

/** Returns this host and the linked members of its group: a large zone, or all small ones. */
function getGroup({ owners, host }: State): string[] {
  const members = owners.row?.members ?? [];
  const sizes = new Map<string, number>();
  for (const { zone } of members) sizes.set(zone, (sizes.get(zone) ?? 0) + 1);
  const isLarge = (zone: string): boolean => (sizes.get(zone) ?? 0) >= MIN_ZONE_GROUP_MEMBERS;
  const group = members.filter(({ host: id, zone }) => {
    if (id !== host.id && !owners.linkedHosts.has(id)) return false;
    return isLarge(host.zone) ? zone === host.zone : !isLarge(zone);
  });
  return group.map(({ host: id }) => id);
}
