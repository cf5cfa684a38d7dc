import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { Failure } from '../errors/failure.ts';
import {
  CONFIRMATION_CHECK_MS,
  CONFIRMATION_MARGIN_MS,
  MAX_CONFIRMATION_WAIT_MS,
  STREAM_LOOKUP_TIMEOUT_MS,
} from '../streams/constants.ts';
import { getLookupHosts, replicateStream } from '../streams/replication.ts';
import { deriveStreamVersion } from '../streams/versionSplits.ts';
import { getOnlySoftwareVersion } from '../streams/softwareVersions.ts';
import { addStream, findStream } from '../streams/streamRecords.ts';
import { AttemptId, type KnownStream, type StreamLookupAnswer } from '../streams/types.ts';
import { MAX_LOGGED_ID_LENGTH, STREAM_WINDOW_TIMEOUTS } from './constants.ts';
import { abandonForward, failForward } from './forwardEnd.ts';
import { placeForward } from './forwardPlacement.ts';
import type { Forward, NewForward } from './types.ts';

/** Whether a request resumes a stream that an earlier attempt of its caller began. */
export function isResumption({ labels, route }: Pick<Forward, 'labels' | 'route'>): boolean {
  const { resumedAttempt, hasLastEventId = false } = labels;
  return route.kind === 'stream' && (resumedAttempt !== undefined || hasLastEventId);
}

/** Returns why a request names no valid attempt that it resumes; undefined if it is valid or names none. */
export function findResumptionProblem({ labels }: NewForward): string | undefined {
  const { resumedAttempt } = labels;
  if (resumedAttempt === undefined || AttemptId.safeParse(resumedAttempt).success) return undefined;
  return `the resumed attempt "${resumedAttempt.slice(0, MAX_LOGGED_ID_LENGTH)}" is not the id of one attempt`;
}

/** Finds out which software version began the stream, and places the request there. */
export function startResumption(state: State, forward: Forward, now: number): Effect[] {
  const { labels, fingerprint, id } = forward;
  const { resumedAttempt: attempt } = labels;
  const known = attempt === undefined ? undefined : findStream(state, attempt, fingerprint, now);
  if (known !== undefined) return resumeStream(state, forward, known, now);
  if ((state.owners.row?.members.length ?? 0) <= 1) return resumeUnknownStream(state, forward, now);
  const hosts = attempt === undefined ? [] : getLookupHosts(state, attempt);
  forward.phase = 'awaitingStreamRecord';
  state.streams.lookups.set(id, new Set(hosts));
  schedule(state, now + STREAM_LOOKUP_TIMEOUT_MS, { type: 'streamLookupTimeout', request: id });
  return attempt === undefined ? [] : hosts.map((host) => newLookup(state, forward, attempt, host));
}

/** Asks a host whose link opened for the records that requests wait for. */
export function extendLookups(state: State, host: string): Effect[] {
  return getWaitingForwards(state).flatMap((forward) => {
    const { resumedAttempt: attempt } = forward.labels;
    if (attempt === undefined) return [];
    state.streams.lookups.get(forward.id)?.add(host);
    return [newLookup(state, forward, attempt, host)];
  });
}

/** Resumes what the answer of another host is about; gives up once none that was asked has a record. */
export function handleLookupAnswer(
  state: State,
  { request, stream }: StreamLookupAnswer,
  from: string,
  now: number,
): Effect[] {
  if (stream !== undefined) {
    addStream(state, stream, now);
    return resumeFoundStreams(state, now);
  }
  const asked = state.streams.lookups.get(request);
  asked?.delete(from);
  return asked?.size === 0 ? endLookup(state, request, now) : [];
}

/** Places the waiting requests whose stream is known by now. */
export function resumeFoundStreams(state: State, now: number): Effect[] {
  return getWaitingForwards(state).flatMap((forward) => {
    const { labels, fingerprint } = forward;
    const known = findStream(state, labels.resumedAttempt ?? '', fingerprint, now);
    return known === undefined ? [] : resumeStream(state, forward, known, now);
  });
}

/** Ends the wait for a record that no host has. */
export function endLookup(state: State, request: string, now: number): Effect[] {
  const forward = state.forwards.inFlight.get(request);
  if (forward?.phase !== 'awaitingStreamRecord') {
    state.streams.lookups.delete(request);
    return [];
  }
  if (isInStep(state, forward) || forward.arrivedAt + MAX_CONFIRMATION_WAIT_MS <= now)
    return resumeUnknownStream(state, forward, now);
  schedule(state, now + CONFIRMATION_CHECK_MS, { type: 'streamLookupTimeout', request });
  return [];
}

/**
 * Whether this host is known to have had the newest endpoints after a request arrived. One that stood still
 * or is cut off may not know of a software version at which other hosts began streams.
 */
function isInStep({ directory, owners }: State, { arrivedAt }: Forward): boolean {
  if ((owners.row?.members.length ?? 0) <= 1) return true;
  return directory.topics.endpoints.confirmedAt >= arrivedAt + CONFIRMATION_MARGIN_MS;
}

/** Records on this and other hosts which software version began or resumes a stream. */
export function recordStream(state: State, forward: Forward, now: number): Effect[] {
  const { labels, route, fingerprint, service, origin, deadlineAt, arrivedAt } = forward;
  const attempt = labels.resumedAttempt ?? labels.attemptId;
  if (!route.isResumable || origin === undefined || !AttemptId.safeParse(attempt).success)
    return [];
  const { softwareVersion } = origin;
  const expiresAt = Math.max(deadlineAt, arrivedAt + labels.waitMs);
  const remainingMs = expiresAt - now;
  const record = { attempt, fingerprint, service, softwareVersion, remainingMs };
  return replicateStream(state, record, now);
}

function resumeStream(
  state: State,
  forward: Forward,
  { service, softwareVersion }: KnownStream,
  now: number,
): Effect[] {
  state.streams.lookups.delete(forward.id);
  const isTarget = forward.route.targets.some(
    (target) => target.service === service && target.weight > 0,
  );
  if (!isTarget)
    return abandonForward(state, forward, `the route no longer leads to service "${service}"`);
  forward.service = service;
  forward.origin = { softwareVersion };
  return placeForward(state, forward, now);
}

/**
 * Places a request of whose stream no host has a record if its service had only one software version since
 * the stream can have begun, or if the splits tell the version; refuses it otherwise.
 */
function resumeUnknownStream(state: State, forward: Forward, now: number): Effect[] {
  state.streams.lookups.delete(forward.id);
  const { route, labels, service } = forward;
  const services = route.targets.filter(({ weight }) => weight > 0);
  const windowMs = route.timeoutMs * STREAM_WINDOW_TIMEOUTS;
  // The time that its caller still waits is not over, so that the stream began later.
  const derivedWindowMs = windowMs - Math.min(labels.waitMs, route.timeoutMs);
  const attempt = labels.resumedAttempt ?? '';
  const softwareVersion = isInStep(state, forward)
    ? (getOnlySoftwareVersion(state, service, windowMs, now) ??
      deriveStreamVersion(state, service, attempt, derivedWindowMs, now))
    : undefined;
  if (softwareVersion !== undefined && services.length === 1) {
    forward.origin = { softwareVersion };
    return placeForward(state, forward, now);
  }
  const message = 'no host knows which software version began the stream';
  return [
    newLog('info', 'stream is not resumed', {
      requestId: labels.attemptId,
      resumedAttempt: labels.resumedAttempt,
      linkedHosts: state.owners.linkedHosts.size,
      reason: message,
    }),
    ...failForward(state, forward, Failure.create('service_unavailable', message)),
  ];
}

function getWaitingForwards({ streams, forwards }: State): Forward[] {
  return [...streams.lookups.keys()].flatMap((id) => {
    const forward = forwards.inFlight.get(id);
    return forward?.phase === 'awaitingStreamRecord' ? [forward] : [];
  });
}

function newLookup(
  state: State,
  { id, fingerprint }: Forward,
  attempt: string,
  host: string,
): Effect {
  return sendMessage(state, host, { type: 'streamLookup', request: id, attempt, fingerprint });
}
