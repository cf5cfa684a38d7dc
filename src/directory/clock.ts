import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { MAX_CLOCK_DRIFT } from './constants.ts';
import type { Directory, Topic } from './types.ts';

/**
 * Records the time of the directory's clock, in ms, as an answer that arrives now tells it. `sentAt` is the
 * monotonic ms at which its call started.
 */
export function recordDirectoryClock(
  { directory }: State,
  clockMs: number,
  sentAt: number,
  now: number,
): void {
  directory.clock = { ms: clockMs, readAt: now };
  const offsetMs = sentAt - clockMs;
  const knownMs = getClockOffsetMs(directory, sentAt) ?? -Infinity;
  if (offsetMs >= knownMs) directory.clockOffset = { ms: offsetMs, at: sentAt };
}

/**
 * Returns a lower bound of the difference between this host's monotonic clock and the directory's, in ms; undefined
 * before an answer told it. The bound falls, as the clocks drift.
 */
function getClockOffsetMs({ clockOffset }: Directory, now: number): number | undefined {
  return clockOffset && clockOffset.ms - (now - clockOffset.at) * MAX_CLOCK_DRIFT;
}

/** Returns the latest time that the directory's clock can show now, in ms; undefined while nothing tells it. */
export function getLatestDirectoryClock({ directory }: State, now: number): number | undefined {
  const offsetMs = getClockOffsetMs(directory, now);
  return offsetMs === undefined ? undefined : now - offsetMs;
}

/**
 * Returns a time that the directory's clock has reached, in ms: answers that arrive late and pauses of this host
 * make it earlier. Undefined before an answer told it.
 */
export function getDirectoryClock({ directory }: State, now: number): number | undefined {
  const { clock } = directory;
  return clock === undefined ? undefined : clock.ms + (now - clock.readAt);
}

/** Records that this host has every change of a topic up to a time of the directory's clock, in ms. */
export function recordProof({ directory }: State, topic: Topic, provenMs: number): void {
  const known = directory.topics[topic];
  known.provenAtMs = Math.max(known.provenAtMs ?? -Infinity, provenMs);
}

/**
 * Returns the longest time for which what this host knows of a topic may be outdated, in ms; Infinity if
 * nothing tells. Delays of answers and messages make it longer and never shorter.
 */
export function getTopicAgeMs({ directory }: State, topic: Topic, now: number): number {
  const { provenAtMs } = directory.topics[topic];
  const offsetMs = getClockOffsetMs(directory, now);
  if (provenAtMs === undefined || offsetMs === undefined) return Infinity;
  return Math.max(0, now - offsetMs - provenAtMs);
}

/** Returns the age of a topic for log lines, in whole ms; undefined if nothing tells it. */
export function getLoggedTopicAgeMs(state: State, topic: Topic, now: number): number | undefined {
  const ageMs = getTopicAgeMs(state, topic, now);
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** Forgets how the directory's clock compares to this host's, of which one may have jumped or stood still. */
export function forgetClockOffset({ directory }: State, reason: string): Effect[] {
  directory.clockOffset = undefined;
  return [newLog('info', 'clock of the directory is unknown', { reason })];
}
