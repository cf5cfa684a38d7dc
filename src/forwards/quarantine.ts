import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EndpointView } from '../fleet/types.ts';
import { MAX_CRASHES_PER_SUSPECT } from '../suspects/constants.ts';
import { publishDirectorySuspect } from '../suspects/directorySuspects.ts';
import { getCountedCrashes, newClearedSuspect, newSuspect } from '../suspects/mergeSuspects.ts';
import { getSuspectChangedAt } from '../suspects/suspicion.ts';
import type { Suspect } from '../suspects/types.ts';
import {
  CRASH_VERIFICATION_DELAY_MS,
  MAX_CRASHES_PER_REQUEST,
  QUARANTINE_MS,
} from './constants.ts';
import type { CrashVerification, Forward, ForwardAttempt } from './types.ts';

/** Reason that callers get for the refusal of a quarantined request. */
export const QUARANTINE_REASON =
  'earlier attempts of this request failed without a complete response at several endpoints';

/**
 * Counts an attempt that was sent and got no complete response as a crash of its endpoint, until
 * the endpoint turns out to run on. All hosts share the count.
 */
export function recordBrokenForwardAttempt(
  state: State,
  { fingerprint }: Forward,
  attempt: ForwardAttempt,
  now: number,
): Effect[] {
  const { endpoint, endpointStartedAt } = attempt;
  const crash = getCrash(attempt);
  schedule(state, now + CRASH_VERIFICATION_DELAY_MS, {
    type: 'verifyCrash',
    fingerprint,
    crash,
    endpoint,
    endpointStartedAt,
  });
  return addCrash(state, fingerprint, crash, now);
}

/**
 * Remembers an attempt that was cancelled while it was in flight. It counts as a crash only once the
 * directory shows that its endpoint stopped without notice.
 */
export function recordCancelledForwardAttempt(
  state: State,
  { fingerprint }: Forward,
  attempt: ForwardAttempt,
  now: number,
): Effect[] {
  const { endpoint, endpointStartedAt } = attempt;
  const { cancelledAttempts } = state.forwards;
  const known = cancelledAttempts.get(endpoint) ?? [];
  const recent = known.filter(({ at }) => at + CRASH_VERIFICATION_DELAY_MS > now);
  const cancelled = { fingerprint, crash: getCrash(attempt), endpointStartedAt, at: now };
  cancelledAttempts.set(endpoint, [...recent, cancelled]);
  return countCrashesOfEndpoint(state, endpoint, now);
}

/**
 * Counts the attempts that were cancelled on an endpoint shortly before it stopped without notice;
 * called when the directory shows a change of the endpoint.
 */
export function countCrashesOfEndpoint(state: State, endpoint: string, now: number): Effect[] {
  const { cancelledAttempts } = state.forwards;
  const view = state.fleet.views.get(endpoint);
  const known = cancelledAttempts.get(endpoint);
  if (view === undefined || known === undefined) return [];
  const ended = known.filter(({ endpointStartedAt }) => hasRunEnded(view, endpointStartedAt));
  if (ended.length === 0) return [];
  cancelledAttempts.delete(endpoint);
  const isPlanned = view.isRemoved && view.endpoint.isLeaving;
  if (isPlanned) return [];
  return ended
    .filter(({ at }) => at + CRASH_VERIFICATION_DELAY_MS > now)
    .flatMap(({ fingerprint, crash }) => addCrash(state, fingerprint, crash, now));
}

/** Takes a counted crash back if the endpoint runs on; checks again later while that is unknown. */
export function verifyCrash(state: State, timer: CrashVerification, now: number): Effect[] {
  const { fingerprint, crash, endpoint, endpointStartedAt } = timer;
  const known = state.suspects.byFingerprint.get(fingerprint);
  if (known === undefined || !getCountedCrashes(known).includes(crash)) return [];
  if (!isEndpointTopicCurrent(state, now)) {
    schedule(state, now + CRASH_VERIFICATION_DELAY_MS, timer);
    return [];
  }
  const view = state.fleet.views.get(endpoint);
  if (view === undefined || hasRunEnded(view, endpointStartedAt)) return [];
  const cleared = [...known.cleared, crash].sort();
  return publishDirectorySuspect(state, { ...known, cleared }, now);
}

/** Clears the crashes of a fingerprint after one of its requests was answered. */
export function clearForwardCrashes(state: State, fingerprint: string, now: number): Effect[] {
  const known = state.suspects.byFingerprint.get(fingerprint);
  if (known === undefined || getCountedCrashes(known).length === 0) return [];
  return publishDirectorySuspect(state, newClearedSuspect(known), now);
}

/**
 * Whether the requests of a fingerprint crashed so many endpoints that they must not run now. They may
 * run once more after a time that grows with the crashes, since a request that only shared endpoints
 * with the cause of the crashes would be refused for good otherwise.
 */
export function isForwardQuarantined(state: State, fingerprint: string, now: number): boolean {
  const known = state.suspects.byFingerprint.get(fingerprint);
  if (known === undefined) return false;
  const excess = getCountedCrashes(known).length - MAX_CRASHES_PER_REQUEST;
  if (excess < 0) return false;
  const quarantineMs = QUARANTINE_MS[excess] ?? Infinity;
  return getSuspectChangedAt(state, fingerprint) + quarantineMs > now;
}

function addCrash(state: State, fingerprint: string, crash: string, now: number): Effect[] {
  const known = state.suspects.byFingerprint.get(fingerprint) ?? newSuspect(fingerprint);
  if (known.crashes.includes(crash) || known.cleared.includes(crash)) return [];
  const hasRoom = known.crashes.length < MAX_CRASHES_PER_SUSPECT;
  const base = hasRoom ? known : newTrimmedSuspect(known);
  const next = { ...base, crashes: [...base.crashes, crash].sort() };
  const effects = publishDirectorySuspect(state, next, now);
  if (!isForwardQuarantined(state, fingerprint, now)) return effects;
  const crashes = getCountedCrashes(next);
  return [newLog('warn', 'request is quarantined', { fingerprint, crashes }), ...effects];
}

/** Returns the record without the crashes that were taken back, in a new generation. */
function newTrimmedSuspect(known: Suspect): Suspect {
  return { ...newClearedSuspect(known), crashes: getCountedCrashes(known), cleared: [] };
}

/** Whether an endpoint that started at `startedAt` has stopped or restarted since. */
function hasRunEnded({ endpoint, isRemoved }: EndpointView, startedAt: number): boolean {
  return isRemoved || endpoint.startedAt > startedAt;
}

/** Whether the directory has been available for so long that it shows which endpoints crashed. */
function isEndpointTopicCurrent({ directory }: State, now: number): boolean {
  const { unavailableSince, recoveredAt } = directory.topics.endpoints;
  return unavailableSince === undefined && recoveredAt + CRASH_VERIFICATION_DELAY_MS <= now;
}

/** Returns the id of a crash; the id of the attempt is unique over hosts and their restarts. */
function getCrash({ endpoint, id }: ForwardAttempt): string {
  return `${endpoint}@${id}`;
}
