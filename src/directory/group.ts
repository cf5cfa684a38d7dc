import type { State } from '../core/state.ts';
import { chooseCapableMember } from '../owners/owner.ts';
import type { Member } from '../owners/types.ts';
import { getTopicAgeMs } from './clock.ts';
import {
  MAX_COVERED_AGE_MS,
  MAX_WATCH_PAUSE_MS,
  MIN_ZONE_GROUP_MEMBERS,
  READER_HEARTBEAT_TIMEOUT_MS,
  READER_WATCH_WAIT_MS,
  WATCH_ANSWER_SLACK_MS,
} from './constants.ts';
import { Topic } from './types.ts';

/** Whether another host is the reader and the last reader heartbeat is recent enough. */
export function isFollower(state: State, now: number): boolean {
  return state.directory.lastHeartbeatAt + READER_HEARTBEAT_TIMEOUT_MS > now && !isReader(state);
}

/**
 * Whether the reader announces the changes of a topic, and has proven lately that this host knows all of them, so
 * that this host need not watch it. A reader of an earlier version proves nothing.
 */
export function isCoveredByReader(state: State, topic: Topic, now: number): boolean {
  if (!isFollower(state, now)) return false;
  const { isReaderProving, clock } = state.directory;
  if (!isReaderProving) return topic === 'endpoints';
  // Without the directory's clock there are no proofs, and only heartbeats count.
  return clock === undefined || getTopicAgeMs(state, topic, now) <= MAX_COVERED_AGE_MS[topic];
}

/** Whether this host is a reader with at least one follower. */
export function hasFollowers(state: State): boolean {
  return isReader(state) && getFollowers(state).length > 0;
}

/**
 * Whether this host is the reader of its group as far as its links show; hosts may disagree for a
 * time.
 */
export function isReader(state: State): boolean {
  return chooseReader(state) === state.host.id;
}

/**
 * Returns the reader of this host's group; undefined if the group has none. A host that the directory does not
 * answer is passed over, by itself at once and by others when its heartbeats stop. The one with the most capacity
 * reads for the others.
 */
export function chooseReader(state: State): string | undefined {
  const { directory, host, now } = state;
  const group = getGroup(state);
  const able = group.filter(({ host: id }) =>
    id === host.id
      ? !isDirectoryLost(state)
      : (directory.avoidedReaders.get(id) ?? -Infinity) <= now,
  );
  return chooseCapableMember('directory', able.length === 0 ? group : able);
}

/** Whether calls of this host to the directory fail. */
function isDirectoryLost({ directory }: State): boolean {
  return Object.values(directory.topics).some(
    ({ unavailableSince }) => unavailableSince !== undefined,
  );
}

/**
 * Whether this host's directory calls succeed: each topic was answered lately, and none is unavailable or
 * overdue. A follower that becomes the reader has made no calls, and proves nothing before their answers.
 */
export function isDirectoryAvailable({ directory }: State, now: number): boolean {
  return Topic.options.every((topic) => {
    const { unavailableSince, version, isCallInFlight, answerDueAt, answeredAt } =
      directory.topics[topic];
    const answerMs = READER_WATCH_WAIT_MS[topic] + MAX_WATCH_PAUSE_MS + WATCH_ANSWER_SLACK_MS;
    return (
      unavailableSince === undefined &&
      version !== undefined &&
      answeredAt + answerMs >= now &&
      (!isCallInFlight || answerDueAt + WATCH_ANSWER_SLACK_MS >= now)
    );
  });
}

/** Returns the linked hosts of this host's group, without itself. */
export function getFollowers(state: State): string[] {
  const hosts = getGroup(state).map(({ host }) => host);
  return hosts.filter((host) => host !== state.host.id);
}

/**
 * Returns this host and the linked members of its group: its large zone, or all small zones
 * together.
 */
function getGroup({ owners, host }: State): Member[] {
  const members = owners.row?.members ?? [];
  const sizes = new Map<string, number>();
  for (const { zone } of members) sizes.set(zone, (sizes.get(zone) ?? 0) + 1);
  const isLarge = (zone: string): boolean => (sizes.get(zone) ?? 0) >= MIN_ZONE_GROUP_MEMBERS;
  return members.filter(({ host: id, zone }) => {
    if (id !== host.id && !owners.linkedHosts.has(id)) return false;
    return isLarge(host.zone) ? zone === host.zone : !isLarge(zone);
  });
}
