import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { isTooLarge } from './announcements.ts';
import {
  PEER_POLL_INTERVAL_MS,
  WATCH_ANSWER_SLACK_MS,
  WHOLE_REQUEST_INTERVAL_MS,
} from './constants.ts';
import { getFollowers, isCoveredByReader } from './group.ts';
import type {
  Topic,
  TopicAdvance,
  TopicChanges,
  TopicChangesRequest,
  TopicState,
} from './types.ts';
import { startWatch } from './watch.ts';

/** Requests changes from a random linked host while the directory is unavailable. */
export function pollPeer(state: State, topic: Topic, now: number): Effect[] {
  const known = state.directory.topics[topic];
  if (known.unavailableSince === undefined) return [];
  schedule(state, now + PEER_POLL_INTERVAL_MS, { type: 'pollPeer', topic });
  if (isCoveredByReader(state, topic, now)) return [];
  const linked = [...state.owners.linkedHosts];
  const peer = linked[state.random.getInteger(Math.max(1, linked.length))];
  if (peer === undefined) return [];
  return [requestTopicChanges(state, topic, peer)];
}

/**
 * Requests the changes after the known version of a topic from another host; `isWhole` if they can't be read from the
 * directory.
 */
export function requestTopicChanges(
  state: State,
  topic: Topic,
  to: string,
  isWhole = state.directory.topics[topic].unavailableSince !== undefined,
): Effect {
  const known = state.directory.topics[topic];
  const { version: after = 0 } = known;
  known.requested = { host: to, after };
  return sendMessage(state, to, { type: 'topicAsked', topic, after, isWhole });
}

/** Sends another host the changes of a topic after the version that it knows, or tells it to read them. */
export function sendTopicChanges(
  state: State,
  { topic, after, isWhole = true }: TopicChangesRequest,
  to: string,
): Effect[] {
  const known = state.directory.topics[topic];
  const { version: upTo, newestVersion } = known;
  // Rows that are ahead of the version are told as well.
  if (upTo === undefined || Math.max(upTo, newestVersion) <= after) return [];
  const told = { type: 'topicTold' as const, topic, after, upTo, ...getChanges(known, after) };
  // The other followers may ask at the same time.
  if (!isWhole && isTooLarge(topic, told, getFollowers(state).length))
    return [sendMessage(state, to, { type: 'topicAdvanced', topic, upTo })];
  return [sendMessage(state, to, told)];
}

/** Returns what a host that knows all up to a version needs; see `TopicChanges`. */
function getChanges(
  { entries, readVersion, omittedUpTo }: TopicState,
  after: number,
): Pick<TopicChanges, 'changes' | 'keys'> {
  const all = [...entries.values()];
  const newer = all.filter(({ version }) => version > after);
  if (after >= Math.max(readVersion, omittedUpTo)) return { changes: newer };
  const rows = all.filter(({ content }) => content.type !== 'removed');
  return { changes: after < omittedUpTo ? rows : newer, keys: rows.map(({ key }) => key) };
}

/**
 * Reads changes from the directory that are too large to be announced. If it does not deliver them in time, they
 * are requested from the host that has them.
 */
export function readAdvancedTopic(
  state: State,
  { topic, upTo }: TopicAdvance,
  from: string,
  now: number,
): Effect[] {
  const known = state.directory.topics[topic];
  if (known.version === undefined || known.version >= upTo) return [];
  if (!known.isCallInFlight || isLongWatch(known))
    return startWatch(known, topic, known.version, 0, now);
  if (isReadingChanges(known, now)) return [];
  if (known.wholeRequestedAt + WHOLE_REQUEST_INTERVAL_MS > now) return [];
  known.wholeRequestedAt = now;
  return [requestTopicChanges(state, topic, from, true)];
}

/** Whether a watch that returns at once is in flight and not overdue. */
export function isReadingChanges(known: TopicState, now: number): boolean {
  if (!known.isCallInFlight || isLongWatch(known)) return false;
  return known.answerDueAt + WATCH_ANSWER_SLACK_MS > now;
}

function isLongWatch({ answerDueAt, callStartedAt }: TopicState): boolean {
  return answerDueAt > callStartedAt;
}
