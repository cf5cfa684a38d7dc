import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { applyChanges, applySnapshot } from './apply.ts';
import {
  PEER_POLL_INTERVAL_MS,
  CALL_RETRY_MAX_MS,
  CALL_RETRY_BASE_MS,
  WATCH_PAUSE_RESET_MS,
  FOLLOWER_WATCH_WAIT_MS,
  MAX_WATCH_PAUSE_MS,
  READER_WATCH_PAUSE_MS,
  READER_WATCH_WAIT_MS,
  WATCH_PAUSE_MS,
  WATCH_WAIT_MS,
} from './constants.ts';
import { isFollower, hasFollowers } from './group.ts';
import { recordDirectoryClock } from './clock.ts';
import { announceTopicChanges } from './announcements.ts';
import { type DirectoryAnswer, Topic, type TopicState } from './types.ts';

/** Reads all topics and watches them from then on. */
export function startDirectoryWatches(state: State, now: number): Effect[] {
  return Topic.options.flatMap((topic) => startTopicCall(state, topic, now));
}

/**
 * Starts the next call of a topic: a read while its version is unknown, else a watch. Followers do
 * not watch the endpoints at all, as these change constantly and the reader announces the changes.
 */
export function startTopicCall(state: State, topic: Topic, now: number): Effect[] {
  const known = state.directory.topics[topic];
  if (known.isCallInFlight || state.phase === 'stopped') return [];
  const { version: after } = known;
  const isCoveredByReader = after !== undefined && isFollower(state, now);
  if (isCoveredByReader && topic === 'endpoints') return [];
  known.isCallInFlight = true;
  known.call += 1;
  const { call } = known;
  if (after === undefined) return [{ type: 'readTopic', topic, call }];
  const waitMs = isCoveredByReader ? FOLLOWER_WATCH_WAIT_MS : getWaitMs(state, topic);
  known.answerDueAt = now + waitMs;
  return [{ type: 'watchTopic', topic, call, after, waitMs }];
}

function getWaitMs(state: State, topic: Topic): number {
  return topic === 'endpoints' && hasFollowers(state) ? READER_WATCH_WAIT_MS : WATCH_WAIT_MS[topic];
}

/**
 * Records a watch that returned changes and returns the pause after it. The pause grows while changes
 * continue, except for the endpoints.
 */
function updatePauseMs(state: State, topic: Topic, now: number): number {
  const known = state.directory.topics[topic];
  const isReset = known.changedAt + WATCH_PAUSE_RESET_MS < now;
  known.watchesWithChanges = isReset ? 0 : Math.min(known.watchesWithChanges + 1, 8);
  known.changedAt = now;
  if (topic === 'endpoints')
    return hasFollowers(state) ? READER_WATCH_PAUSE_MS : WATCH_PAUSE_MS.endpoints;
  return Math.min(MAX_WATCH_PAUSE_MS, WATCH_PAUSE_MS[topic] * 2 ** known.watchesWithChanges);
}

/** Applies the answer of a directory call and starts or schedules the next call. */
export function handleTopicAnswer(
  state: State,
  topic: Topic,
  call: number,
  isRead: boolean,
  answer: DirectoryAnswer,
  now: number,
): Effect[] {
  const known = state.directory.topics[topic];
  if (call !== known.call || !known.isCallInFlight) return [];
  known.isCallInFlight = false;
  const observations = [
    newCount('fireflywick_table_calls_total', { purpose: topic, answer: answer.type }),
    newLog('debug', 'directory answered', {
      topic,
      isRead,
      answer: answer.type,
      changes: answer.type === 'changes' ? answer.changes.map(({ key }) => key) : undefined,
    }),
  ];
  if (answer.type === 'unavailable') {
    return [...observations, ...scheduleTopicRetry(state, topic, answer.reason, now)];
  }
  const effects = [...observations, ...recordRecovery(known, topic, now)];
  if (answer.type === 'historyLost') {
    known.version = undefined;
    if (answer.isRestored) effects.push(recordRestore(known, topic, now));
    return [...effects, ...startTopicCall(state, topic, now)];
  }
  if (answer.clockMs !== undefined) recordDirectoryClock(state, answer.clockMs, now);
  // A read is not announced: it does not list the keys that were removed since the last call.
  // Followers request the changes, removals included, when a heartbeat names the new version.
  if (isRead) known.announcedVersion = answer.version;
  else effects.push(...announceTopicChanges(state, topic, answer));
  known.version = Math.max(known.version ?? 0, answer.version);
  known.confirmedAt = now;
  const applied = isRead
    ? applySnapshot(state, topic, answer.changes, answer.version, now)
    : applyChanges(state, topic, answer.changes, now);
  const isUnchanged = answer.changes.length === 0;
  // Without a pause, a reader's short watches would follow each other closely while nothing
  // changes.
  const isPaced = topic === 'endpoints' && hasFollowers(state);
  if (isRead || (isUnchanged && !isPaced))
    return [...effects, ...applied, ...startTopicCall(state, topic, now)];
  const pauseMs = isUnchanged ? READER_WATCH_PAUSE_MS : updatePauseMs(state, topic, now);
  schedule(state, now + pauseMs, { type: 'startTopicCall', topic });
  return [...effects, ...applied];
}

/** Requests changes from a random linked host while the directory is unavailable. */
export function pollPeer(state: State, topic: Topic, now: number): Effect[] {
  const known = state.directory.topics[topic];
  if (known.unavailableSince === undefined) return [];
  schedule(state, now + PEER_POLL_INTERVAL_MS, { type: 'pollPeer', topic });
  const linked = [...state.owners.linkedHosts];
  const peer = linked[state.random.getInteger(Math.max(1, linked.length))];
  if (peer === undefined) return [];
  return [requestTopicChanges(state, topic, peer)];
}

/** Requests the changes after the known version of a topic from another host. */
export function requestTopicChanges(state: State, topic: Topic, to: string): Effect {
  const after = state.directory.topics[topic].version ?? 0;
  return sendMessage(state, to, { type: 'topicAsked', topic, after });
}

/** Sends another host the changes of a topic after the version that it knows. */
export function sendTopicChanges(state: State, topic: Topic, after: number, to: string): Effect[] {
  const { entries, version: upTo } = state.directory.topics[topic];
  if (upTo === undefined || upTo <= after) return [];
  const changes = [...entries.values()].filter(({ version }) => version > after);
  return [sendMessage(state, to, { type: 'topicTold', topic, after, upTo, changes })];
}

function scheduleTopicRetry(state: State, topic: Topic, reason: string, now: number): Effect[] {
  const known = state.directory.topics[topic];
  const limit = Math.min(CALL_RETRY_MAX_MS, CALL_RETRY_BASE_MS * 2 ** known.failures);
  known.failures = Math.min(known.failures + 1, 16);
  const pause = limit * (0.5 + state.random.getFraction() / 2);
  schedule(state, now + pause, { type: 'startTopicCall', topic });
  if (known.unavailableSince !== undefined) return [];
  known.unavailableSince = now;
  return [
    newLog('warn', 'directory lost', { topic, reason, version: known.version ?? 0 }),
    ...pollPeer(state, topic, now),
  ];
}

/** Entries that an older copy lacks get the same time to return as those that expired in an outage. */
function recordRestore(known: TopicState, topic: Topic, now: number): Effect {
  known.recoveredAt = now;
  return newLog('warn', 'directory was restored from an older copy', { topic });
}

function recordRecovery(known: TopicState, topic: Topic, now: number): Effect[] {
  known.failures = 0;
  if (known.unavailableSince === undefined) return [];
  const lostMs = Math.round(now - known.unavailableSince);
  known.unavailableSince = undefined;
  known.recoveredAt = now;
  return [newLog('info', 'directory regained', { topic, lostMs })];
}
