import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { applyChanges, applySnapshot } from './apply.ts';
import {
  CALL_RETRY_MAX_MS,
  CALL_RETRY_BASE_MS,
  COVERED_CALL_RETRY_MS,
  WATCH_PAUSE_RESET_MS,
  FOLLOWER_WATCH_WAIT_MS,
  MAX_READER_WATCH_PAUSE_MS,
  MAX_WATCH_PAUSE_MS,
  READER_WATCH_PAUSE_MS,
  READER_WATCH_WAIT_MS,
  WATCH_PAUSE_MS,
  WATCH_WAIT_MS,
} from './constants.ts';
import { hasFollowers, isCoveredByReader, isFollower } from './group.ts';
import { forgetClockOffset, recordDirectoryClock, recordProof } from './clock.ts';
import { announceTopicChanges } from './announcements.ts';
import { pollPeer } from './peerChanges.ts';
import { type DirectoryAnswer, Topic, type TopicState } from './types.ts';

/** Reads all topics and watches them from then on. */
export function startDirectoryWatches(state: State, now: number): Effect[] {
  return Topic.options.flatMap((topic) => startTopicCall(state, topic, now));
}

/**
 * Starts the next call of a topic: a read while its version is unknown, else a watch. Followers watch
 * nothing, as the reader announces the changes.
 */
export function startTopicCall(state: State, topic: Topic, now: number): Effect[] {
  const known = state.directory.topics[topic];
  if (known.isCallInFlight || state.phase === 'stopped') return [];
  const { version: after } = known;
  if (after !== undefined) {
    if (!needsOwnCalls(state, topic, now)) return [];
    return startWatch(known, topic, after, getWaitMs(state, topic, now), now);
  }
  recordCallStart(known, now);
  return [{ type: 'readTopic', topic, call: known.call }];
}

/** Starts the calls that are needed again, and of which none is under way or scheduled. */
export function resumeTopicCalls(state: State, now: number): Effect[] {
  return Topic.options.flatMap((topic) => {
    const { nextCallAt } = state.directory.topics[topic];
    return nextCallAt > now ? [] : startTopicCall(state, topic, now);
  });
}

/**
 * Whether this host calls the directory itself. One that lost the directory has to find out when it is back, as it
 * could not replace the reader until then.
 */
function needsOwnCalls(state: State, topic: Topic, now: number): boolean {
  const { unavailableSince } = state.directory.topics[topic];
  return unavailableSince !== undefined || !isCoveredByReader(state, topic, now);
}

function scheduleTopicCall(state: State, topic: Topic, at: number): void {
  state.directory.topics[topic].nextCallAt = at;
  schedule(state, at, { type: 'startTopicCall', topic });
}

/** Starts a watch of a topic from a version on, in place of one that is under way. */
export function startWatch(
  known: TopicState,
  topic: Topic,
  after: number,
  waitMs: number,
  now: number,
): Effect[] {
  recordCallStart(known, now);
  known.answerDueAt = now + waitMs;
  return [{ type: 'watchTopic', topic, call: known.call, after, waitMs }];
}

/** Records that a call starts; answers to earlier ones are ignored. */
function recordCallStart(known: TopicState, now: number): void {
  known.isCallInFlight = true;
  known.call += 1;
  known.callStartedAt = now;
  known.nextCallAt = -Infinity;
}

function getWaitMs(state: State, topic: Topic, now: number): number {
  // An answer at once shows soonest that the directory is back.
  if (state.directory.topics[topic].unavailableSince !== undefined) return 0;
  if (hasFollowers(state)) return READER_WATCH_WAIT_MS[topic];
  if (!isFollower(state, now)) return WATCH_WAIT_MS[topic];
  // A reader of an earlier version announces some topics only; another one gets its turn again after one answer.
  return state.directory.isReaderProving ? 0 : FOLLOWER_WATCH_WAIT_MS;
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
  const maxPauseMs = hasFollowers(state) ? MAX_READER_WATCH_PAUSE_MS : MAX_WATCH_PAUSE_MS;
  return Math.min(maxPauseMs, WATCH_PAUSE_MS[topic] * 2 ** known.watchesWithChanges);
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
  known.answeredAt = now;
  const effects = [...observations, ...recordRecovery(known, topic, now)];
  if (answer.type === 'historyLost') {
    known.version = undefined;
    if (answer.isRestored) effects.push(...recordRestore(state, topic, now));
    return [...effects, ...startTopicCall(state, topic, now)];
  }
  if (answer.clockMs !== undefined)
    recordDirectoryClock(state, answer.clockMs, known.callStartedAt, now);
  const { version: knownVersion = 0 } = known;
  // News of other hosts may have overtaken the answer.
  const changes = answer.changes.filter(({ version }) => version > knownVersion);
  // A read is not announced: it does not list the keys that were removed since the last call.
  // Followers request the changes, removals included, when a heartbeat names the new version.
  if (isRead) recordRead(known, answer.version);
  else effects.push(...announceTopicChanges(state, topic, { changes, version: answer.version }));
  known.version = Math.max(known.version ?? 0, answer.version);
  known.confirmedAt = now;
  if (answer.asOfMs !== undefined) recordProof(state, topic, answer.asOfMs);
  const applied = isRead
    ? applySnapshot(state, topic, changes, answer.version, { source: 'read' }, now)
    : applyChanges(state, topic, changes, { source: 'watch' }, now);
  const isUnchanged = answer.changes.length === 0;
  // Without a pause, a reader's short watches would follow each other closely while nothing
  // changes.
  const isPaced = topic === 'endpoints' && hasFollowers(state);
  if (isRead || (isUnchanged && !isPaced))
    return [...effects, ...applied, ...startTopicCall(state, topic, now)];
  const pauseMs = isUnchanged ? READER_WATCH_PAUSE_MS : updatePauseMs(state, topic, now);
  scheduleTopicCall(state, topic, now + pauseMs);
  return [...effects, ...applied];
}

function recordRead(known: TopicState, version: number): void {
  known.announcedVersion = version;
  known.readVersion = version;
  known.omittedUpTo = 0;
}

/**
 * Asks the directory for its clock after a clock of this host jumped, as the age of what is known of keys can't
 * be told until then.
 */
export function handleClockJump(state: State, now: number): Effect[] {
  const forgotten = forgetClockOffset(state, 'a clock of this host jumped');
  const topic = 'operator';
  const known = state.directory.topics[topic];
  if (known.version === undefined || state.policy.directory?.maxKeyAgeMs === undefined)
    return forgotten;
  return [...forgotten, ...startWatch(known, topic, known.version, 0, now)];
}

function scheduleTopicRetry(state: State, topic: Topic, reason: string, now: number): Effect[] {
  const known = state.directory.topics[topic];
  const limit = isCoveredByReader(state, topic, now)
    ? COVERED_CALL_RETRY_MS
    : Math.min(CALL_RETRY_MAX_MS, CALL_RETRY_BASE_MS * 2 ** known.failures);
  known.failures = Math.min(known.failures + 1, 16);
  const pause = limit * (0.5 + state.random.getFraction() / 2);
  scheduleTopicCall(state, topic, now + pause);
  if (known.unavailableSince !== undefined) return [];
  known.unavailableSince = now;
  return [
    newLog('warn', 'directory lost', { topic, reason, version: known.version ?? 0 }),
    ...pollPeer(state, topic, now),
  ];
}

/** Entries that an older copy lacks get the same time to return as those that expired in an outage. */
function recordRestore(state: State, topic: Topic, now: number): Effect[] {
  for (const known of Object.values(state.directory.topics)) known.provenAtMs = undefined;
  state.directory.topics[topic].recoveredAt = now;
  const restored = newLog('warn', 'directory was restored from an older copy', { topic });
  return [restored, ...forgetClockOffset(state, 'it was restored from an older copy')];
}

function recordRecovery(known: TopicState, topic: Topic, now: number): Effect[] {
  known.failures = 0;
  if (known.unavailableSince === undefined) return [];
  const lostMs = Math.round(now - known.unavailableSince);
  known.unavailableSince = undefined;
  known.recoveredAt = now;
  return [newLog('info', 'directory regained', { topic, lostMs })];
}
