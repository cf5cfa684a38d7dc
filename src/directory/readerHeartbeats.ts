import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import {
  WATCH_PAUSE_RESET_MS,
  READER_AVOIDED_MS,
  READER_HEARTBEAT_INTERVAL_MS,
  READER_HEARTBEAT_TIMEOUT_MS,
} from './constants.ts';
import { getLoggedTopicAgeMs, recordProof } from './clock.ts';
import { chooseReader, getFollowers, isDirectoryAvailable, isFollower, isReader } from './group.ts';
import { isReadingChanges, requestTopicChanges } from './peerChanges.ts';
import { isSyncedWith } from './readerSync.ts';
import { type ReaderHeartbeat, Topic } from './types.ts';
import { resumeTopicCalls, startTopicCall } from './watch.ts';

/** Starts the periodic rounds in which readers send heartbeats and followers check for them. */
export function startReaderHeartbeats(state: State, now: number): Effect[] {
  schedule(state, now + READER_HEARTBEAT_INTERVAL_MS, { type: 'readerHeartbeatRound' });
  return [];
}

/**
 * As a reader, sends heartbeats to the followers while directory calls succeed. As a follower,
 * starts its own watches when the heartbeats stop.
 */
export function runReaderHeartbeatRound(state: State, now: number): Effect[] {
  schedule(state, now + READER_HEARTBEAT_INTERVAL_MS, { type: 'readerHeartbeatRound' });
  const { directory } = state;
  const replaced = replaceSilentReader(state, now);
  if (directory.lastHeartbeatAt !== -Infinity && !isFollower(state, now)) {
    const silentMs = Math.round(now - directory.lastHeartbeatAt);
    directory.lastHeartbeatAt = -Infinity;
    const ageMs = getLoggedTopicAgeMs(state, 'operator', now);
    const from = directory.heartbeatFrom;
    const ended = newLog('info', 'heartbeats of a reader ended', { from, silentMs, ageMs });
    return [...replaced, ended, ...restartWatches(state, now)];
  }
  const resumed = resumeTopicCalls(state, now);
  if (!isReader(state) || !isDirectoryAvailable(state, now)) return [...replaced, ...resumed];
  const { operator, endpoints, members } = directory.topics;
  const heartbeat: ReaderHeartbeat = {
    type: 'directoryFed',
    told: [operator.announcedVersion, endpoints.announcedVersion, members.announcedVersion],
    regainedMs: Math.min(now - endpoints.recoveredAt, Number.MAX_SAFE_INTEGER),
    provenMs: [operator, endpoints, members].map(({ provenAtMs }) => provenAtMs ?? null),
  };
  const heartbeats = getFollowers(state).map((host) => sendMessage(state, host, heartbeat));
  return [...replaced, ...resumed, ...heartbeats];
}

/** Records a reader's heartbeat, and requests the changes that did not arrive from the reader. */
export function handleReaderHeartbeat(
  state: State,
  heartbeat: ReaderHeartbeat,
  from: string,
  now: number,
): Effect[] {
  const { directory } = state;
  const started = recordHeartbeat(state, heartbeat, from, now);
  directory.isReaderProving = heartbeat.provenMs !== undefined;
  const { endpoints } = directory.topics;
  endpoints.recoveredAt = Math.max(endpoints.recoveredAt, now - heartbeat.regainedMs);
  const requests = Topic.options.flatMap((topic, index) => {
    const known = directory.topics[topic];
    if (known.version === undefined) return [];
    // While members change, this host's own watch returns the changes as well, if it has one.
    const isLeftToWatch =
      topic === 'members' &&
      !directory.isReaderProving &&
      known.changedAt + WATCH_PAUSE_RESET_MS > now;
    const told = heartbeat.told[index] ?? 0;
    const isOutdated = told > known.version;
    if (!isOutdated) {
      known.confirmedAt = now;
      const provenMs = heartbeat.provenMs?.[index] ?? undefined;
      if (provenMs !== undefined) recordProof(state, topic, provenMs);
    }
    const needsChanges = isOutdated || !isSyncedWith(known, from, told);
    const isBehind = needsChanges && !isLeftToWatch && !isReadingChanges(known, now);
    return isBehind ? [requestTopicChanges(state, topic, from)] : [];
  });
  return [...started, ...requests];
}

/**
 * Records the time of a heartbeat; the first one after a time without any is logged. A reader is not covered by another
 * host that takes itself for the reader too.
 */
function recordHeartbeat(
  state: State,
  { told }: ReaderHeartbeat,
  from: string,
  now: number,
): Effect[] {
  if (isReader(state)) return [];
  const { directory } = state;
  const isFirst = directory.lastHeartbeatAt === -Infinity;
  directory.lastHeartbeatAt = now;
  directory.heartbeatFrom = from;
  return isFirst ? [newLog('info', 'heartbeats of a reader began', { from, told })] : [];
}

/** Passes over a reader that should have sent heartbeats by now, so that another host takes its place. */
function replaceSilentReader(state: State, now: number): Effect[] {
  const { directory, host } = state;
  const reader = chooseReader(state);
  if (reader === undefined || reader === host.id) {
    directory.expectedReader = undefined;
    return [];
  }
  if (directory.expectedReader?.host !== reader)
    directory.expectedReader = { host: reader, since: now };
  const expectedSince = Math.max(directory.expectedReader.since, directory.lastHeartbeatAt);
  if (expectedSince + READER_HEARTBEAT_TIMEOUT_MS + READER_HEARTBEAT_INTERVAL_MS > now) return [];
  directory.avoidedReaders.set(reader, now + READER_AVOIDED_MS);
  return [newLog('info', 'reader of the directory is replaced', { reader })];
}

/**
 * Starts the usual watches in place of the long ones of a follower, which may hang, and of retries that are due
 * later.
 */
function restartWatches(state: State, now: number): Effect[] {
  return Topic.options.flatMap((topic) => {
    state.directory.topics[topic].isCallInFlight = false;
    return startTopicCall(state, topic, now);
  });
}
