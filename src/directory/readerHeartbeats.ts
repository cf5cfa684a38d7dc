import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import {
  WATCH_ANSWER_SLACK_MS,
  WATCH_PAUSE_RESET_MS,
  READER_HEARTBEAT_INTERVAL_MS,
} from './constants.ts';
import { getFollowers, isFollower, isReader } from './group.ts';
import { type ReaderHeartbeat, Topic } from './types.ts';
import { requestTopicChanges, startTopicCall } from './watch.ts';

/** Starts the rounds in which the reader tells that it is in touch, and the others check that. */
export function startReaderHeartbeats(state: State, now: number): Effect[] {
  schedule(state, now + READER_HEARTBEAT_INTERVAL_MS, { type: 'readerHeartbeatRound' });
  return [];
}

/** Tells the hosts of the group that this reader is in touch, or notes that it is not. */
export function runReaderHeartbeatRound(state: State, now: number): Effect[] {
  schedule(state, now + READER_HEARTBEAT_INTERVAL_MS, { type: 'readerHeartbeatRound' });
  const { directory } = state;
  if (directory.lastHeartbeatAt !== -Infinity && !isFollower(state, now)) {
    directory.lastHeartbeatAt = -Infinity;
    return watchAgain(state, now);
  }
  if (!isReader(state) || !isInTouch(state, now)) return [];
  const { operator, endpoints, members } = directory.topics;
  const fed: ReaderHeartbeat = {
    type: 'directoryFed',
    told: [operator.announcedVersion, endpoints.announcedVersion, members.announcedVersion],
    regainedMs: Math.min(now - endpoints.recoveredAt, Number.MAX_SAFE_INTEGER),
  };
  return getFollowers(state).map((host) => deliver(state, host, fed));
}

/** Takes up that a reader is in touch, and asks it for changes that did not arrive. */
export function handleReaderHeartbeat(
  state: State,
  fed: ReaderHeartbeat,
  from: string,
  now: number,
): Effect[] {
  const { directory } = state;
  directory.lastHeartbeatAt = now;
  const { endpoints } = directory.topics;
  endpoints.recoveredAt = Math.max(endpoints.recoveredAt, now - fed.regainedMs);
  return Topic.options.flatMap((topic, index) => {
    const known = directory.topics[topic];
    if (known.version === undefined) return [];
    // While members change, the watch of this host brings them as well.
    const isComing = topic === 'members' && known.changedAt + WATCH_PAUSE_RESET_MS > now;
    const isBehind = (fed.told[index] ?? 0) > known.version && !isComing;
    return isBehind ? [requestTopicChanges(state, topic, from)] : [];
  });
}

/** Whether all calls of this host are answered, as far as it can tell. */
function isInTouch({ directory }: State, now: number): boolean {
  const { endpoints } = directory.topics;
  const isLate = endpoints.isCallInFlight && endpoints.answerDueAt + WATCH_ANSWER_SLACK_MS < now;
  return (
    !isLate &&
    Object.values(directory.topics).every(
      ({ unavailableSince: lostAt, version }) => lostAt === undefined && version !== undefined,
    )
  );
}

/** Gives up the long watches of a host that was fed, which may hang, and watches closely. */
function watchAgain(state: State, now: number): Effect[] {
  return Topic.options.flatMap((topic) => {
    const known = state.directory.topics[topic];
    // A call that failed is repeated by its own timer.
    if (known.unavailableSince !== undefined) return [];
    known.isCallInFlight = false;
    return startTopicCall(state, topic, now);
  });
}
