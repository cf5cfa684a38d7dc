import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { applyChanges, applySnapshot } from './apply.ts';
import {
  ASK_PEERS_MS,
  CALL_RETRY_MAX_MS,
  CALL_RETRY_MS,
  CALM_MS,
  FED_WAIT_MS,
  MAX_WATCH_PAUSE_MS,
  READER_PAUSE_MS,
  READER_WAIT_MS,
  WATCH_PAUSE_MS,
  WATCH_WAIT_MS,
} from './constants.ts';
import { isFed, isFeeding } from './group.ts';
import { passOn } from './news.ts';
import { type DirectoryAnswer, Topic, type TopicState } from './types.ts';

/** Reads all topics and watches them from then on. */
export function startDirectory(state: State, now: number): Effect[] {
  return Topic.options.flatMap((topic) => callTopic(state, topic, now));
}

/**
 * Starts the next call of a topic: a read while nothing is known of it, else a watch. The endpoints
 * change all the time, so that a host that is told of them does not watch them at all.
 */
export function callTopic(state: State, topic: Topic, now: number): Effect[] {
  const known = state.directory.topics[topic];
  if (known.isCalling || state.phase === 'stopped') return [];
  const { version: after } = known;
  const isTold = after !== undefined && isFed(state, now);
  if (isTold && topic === 'endpoints') return [];
  known.isCalling = true;
  known.call += 1;
  const { call } = known;
  if (after === undefined) return [{ type: 'readTopic', topic, call }];
  const waitMs = isTold ? FED_WAIT_MS : getWaitMs(state, topic);
  known.answerBy = now + waitMs;
  return [{ type: 'watchTopic', topic, call, after, waitMs }];
}

function getWaitMs(state: State, topic: Topic): number {
  return topic === 'endpoints' && isFeeding(state) ? READER_WAIT_MS : WATCH_WAIT_MS[topic];
}

/** Returns the pause after a watch that brought changes; it grows while changes keep coming. */
function getPauseMs(state: State, topic: Topic, now: number): number {
  const known = state.directory.topics[topic];
  const isCalm = known.changedAt + CALM_MS < now;
  known.busyWatches = isCalm ? 0 : Math.min(known.busyWatches + 1, 8);
  known.changedAt = now;
  if (topic === 'endpoints') return isFeeding(state) ? READER_PAUSE_MS : WATCH_PAUSE_MS.endpoints;
  return Math.min(MAX_WATCH_PAUSE_MS, WATCH_PAUSE_MS[topic] * 2 ** known.busyWatches);
}

/** Takes up the answer of a call and schedules the next one. */
export function continueTopic(
  state: State,
  topic: Topic,
  call: number,
  isRead: boolean,
  answer: DirectoryAnswer,
  now: number,
): Effect[] {
  const known = state.directory.topics[topic];
  if (call !== known.call || !known.isCalling) return [];
  known.isCalling = false;
  const called = [
    newCount('fireflywick_table_calls_total', { purpose: topic, answer: answer.type }),
    newLog('debug', 'directory answered', {
      topic,
      isRead,
      answer: answer.type,
      changes: answer.type === 'changes' ? answer.changes.map(({ key }) => key) : undefined,
    }),
  ];
  if (answer.type === 'unavailable') {
    return [...called, ...retryTopic(state, topic, answer.reason, now)];
  }
  const effects = [...called, ...noteRegained(known, topic, now)];
  if (answer.type === 'historyLost') {
    known.version = undefined;
    return [...effects, ...callTopic(state, topic, now)];
  }
  // What a read lacks was removed; hosts are told of that when they ask.
  if (isRead) known.toldVersion = answer.version;
  else effects.push(...passOn(state, topic, answer));
  known.version = Math.max(known.version ?? 0, answer.version);
  const applied = isRead
    ? applySnapshot(state, topic, answer.changes, answer.version, now)
    : applyChanges(state, topic, answer.changes, now);
  const isUnchanged = answer.changes.length === 0;
  // A reader's short watches would follow each other without a pause while nothing changes.
  const isPaced = topic === 'endpoints' && isFeeding(state);
  if (isRead || (isUnchanged && !isPaced))
    return [...effects, ...applied, ...callTopic(state, topic, now)];
  const pauseMs = isUnchanged ? READER_PAUSE_MS : getPauseMs(state, topic, now);
  schedule(state, now + pauseMs, { type: 'callTopic', topic });
  return [...effects, ...applied];
}

/** Asks a linked host for what it knows while the directory does not answer this one. */
export function askPeers(state: State, topic: Topic, now: number): Effect[] {
  const known = state.directory.topics[topic];
  if (known.lostAt === undefined) return [];
  schedule(state, now + ASK_PEERS_MS, { type: 'askPeers', topic });
  const linked = [...state.owners.linkedHosts];
  const peer = linked[state.random.getInteger(Math.max(1, linked.length))];
  if (peer === undefined) return [];
  return [askTopic(state, topic, peer)];
}

/** Returns the message that asks a host for the changes after what this host knows. */
export function askTopic(state: State, topic: Topic, to: string): Effect {
  const after = state.directory.topics[topic].version ?? 0;
  return deliver(state, to, { type: 'topicAsked', topic, after });
}

/** Returns the message that tells a host of the changes it lacks. */
export function tellTopic(state: State, topic: Topic, after: number, to: string): Effect[] {
  const { entries, version: upTo } = state.directory.topics[topic];
  if (upTo === undefined || upTo <= after) return [];
  const changes = [...entries.values()].filter(({ version }) => version > after);
  return [deliver(state, to, { type: 'topicTold', topic, after, upTo, changes })];
}

function retryTopic(state: State, topic: Topic, reason: string, now: number): Effect[] {
  const known = state.directory.topics[topic];
  const limit = Math.min(CALL_RETRY_MAX_MS, CALL_RETRY_MS * 2 ** known.failures);
  known.failures = Math.min(known.failures + 1, 16);
  const pause = limit * (0.5 + state.random.getFraction() / 2);
  schedule(state, now + pause, { type: 'callTopic', topic });
  if (known.lostAt !== undefined) return [];
  known.lostAt = now;
  return [
    newLog('warn', 'directory lost', { topic, reason, version: known.version ?? 0 }),
    ...askPeers(state, topic, now),
  ];
}

function noteRegained(known: TopicState, topic: Topic, now: number): Effect[] {
  known.failures = 0;
  if (known.lostAt === undefined) return [];
  const lostMs = Math.round(now - known.lostAt);
  known.lostAt = undefined;
  known.regainedAt = now;
  return [newLog('info', 'directory regained', { topic, lostMs })];
}
