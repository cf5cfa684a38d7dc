import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { isLeaving } from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
import { recordOtherHostCheck } from '../paths/otherHosts.ts';
import { findRelay, getRelay } from '../paths/relayChoice.ts';
import { type Attribute, isSharedAttribute } from '../suspects/attributes.ts';
import { addCrash } from '../suspects/crashes.ts';
import { getCountedCrashes } from '../suspects/mergeSuspects.ts';
import { publishSuspects } from '../suspects/suspectReports.ts';
import type { SentAttribute } from '../suspects/types.ts';
import { BROKEN_WITH_ENDPOINT_MS, CRASH_VERIFICATION_DELAY_MS } from './constants.ts';
import type {
  CrashVerification,
  EndpointCheck,
  Forward,
  ForwardAttempt,
  UnansweredAttempt,
} from './types.ts';

/** Returns the attributes of a request with what is known of them now, when it is sent. */
export function getSentAttributes(
  { suspects }: State,
  attributes: readonly Attribute[],
): SentAttribute[] {
  return attributes.map((attribute) => {
    const isActive = suspects.active.has(attribute.key);
    const known = isActive ? suspects.byAttribute.get(attribute.key) : undefined;
    return { ...attribute, generation: known?.generation ?? 0, streak: known?.streak ?? 0 };
  });
}

/**
 * Counts an attempt that was sent and got no complete response as a crash of its endpoint against the
 * request, until the endpoint turns out to run on. Against what requests share it counts only once the
 * endpoint is known to have crashed, which a connection tells at once if it is refused.
 */
export function recordBrokenForwardAttempt(
  state: State,
  forward: Forward,
  attempt: ForwardAttempt,
  now: number,
): Effect[] {
  const { endpoint, endpointStartedAt: startedAt } = attempt;
  const { fingerprint } = forward;
  const crash = getRequestCrash(attempt);
  schedule(state, now + CRASH_VERIFICATION_DELAY_MS, {
    type: 'verifyCrash',
    fingerprint,
    crash,
    endpoint,
    endpointStartedAt: startedAt,
  });
  const suspect = addCrash(state, { attribute: fingerprint, crash, requests: [fingerprint] });
  const effects = publishSuspects(state, [suspect], now);
  rememberAttempt(state, forward, attempt, true, now);
  if (state.forwards.crashedEndpoints.get(endpoint)?.startedAt === startedAt)
    return [...effects, ...attributeCrash(state, endpoint, startedAt, now)];
  return [...effects, ...checkEndpoint(state, endpoint, startedAt, now)];
}

/**
 * Remembers an attempt that was cancelled while it was in flight. It counts as a crash only once the
 * directory shows that its endpoint stopped without notice.
 */
export function recordCancelledForwardAttempt(
  state: State,
  forward: Forward,
  attempt: ForwardAttempt,
  now: number,
): Effect[] {
  rememberAttempt(state, forward, attempt, false, now);
  return countCrashesOfEndpoint(state, attempt.endpoint, now);
}

/**
 * Counts the broken attempts of an endpoint that refuses connections as crashes. One that refuses only those
 * of this host runs on: the path to it is lost, and its crashes are taken back.
 */
export function handleEndpointCheck(state: State, check: EndpointCheck, now: number): Effect[] {
  const { endpoint, startedAt, relay, isRefused, isRunning = false } = check;
  const { checkedEndpoints, crashedEndpoints } = state.forwards;
  const next = recordOtherHostCheck(state, check, now);
  // Other hosts are also asked for lost paths, which tells of no crash.
  if (relay !== undefined && !checkedEndpoints.has(endpoint)) return next;
  const view = state.fleet.views.get(endpoint);
  const secondHost =
    relay === undefined && view !== undefined ? findRelay(state, view, now) : undefined;
  if (isRefused && view !== undefined && secondHost !== undefined) {
    const { address } = view.endpoint;
    checkedEndpoints.add(endpoint);
    return [{ type: 'checkEndpoint', endpoint, address, relay: secondHost, startedAt }];
  }
  checkedEndpoints.delete(endpoint);
  if (relay !== undefined && isRunning) return clearCrashes(state, endpoint, startedAt, now);
  if (!isRefused) return next;
  const isNew = crashedEndpoints.get(endpoint)?.startedAt !== startedAt;
  crashedEndpoints.set(endpoint, { startedAt, at: now });
  const log = newLog('warn', 'endpoint refuses connections', {
    endpoint,
    softwareVersion: view?.endpoint.softwareVersion,
    confirmedBy: relay,
  });
  return [...(isNew ? [log] : []), ...attributeCrash(state, endpoint, startedAt, now)];
}

/**
 * Counts the attempts that were unanswered on an endpoint shortly before it stopped without notice;
 * called when the directory shows a change of the endpoint.
 */
export function countCrashesOfEndpoint(state: State, endpoint: string, now: number): Effect[] {
  const { unansweredAttempts, crashedEndpoints } = state.forwards;
  const view = state.fleet.views.get(endpoint);
  const known = unansweredAttempts.get(endpoint) ?? [];
  if (view === undefined) return [];
  const crashedStart = crashedEndpoints.get(endpoint)?.startedAt;
  if (crashedStart !== undefined && hasRunEnded(view, crashedStart))
    crashedEndpoints.delete(endpoint);
  const ended = known.filter(({ endpointStartedAt }) => hasRunEnded(view, endpointStartedAt));
  if (ended.length === 0) return [];
  unansweredAttempts.delete(endpoint);
  const isPlanned = view.isRemoved && isLeaving(view);
  if (isPlanned) return [];
  const recent = ended.filter(({ at }) => at + CRASH_VERIFICATION_DELAY_MS > now);
  const requests = recent.map(({ fingerprint, crash }) =>
    addCrash(state, { attribute: fingerprint, crash, requests: [fingerprint] }),
  );
  return [...publishSuspects(state, requests, now), ...countSharedCrashes(state, recent, now)];
}

/** Takes a counted crash back if the endpoint runs on; checks again later while that is unknown. */
export function verifyCrash(state: State, timer: CrashVerification, now: number): Effect[] {
  const { fingerprint, crash, endpoint, endpointStartedAt } = timer;
  const known = state.suspects.byAttribute.get(fingerprint);
  if (known === undefined || !getCountedCrashes(known).includes(crash)) return [];
  if (!isEndpointTopicCurrent(state, now)) {
    schedule(state, now + CRASH_VERIFICATION_DELAY_MS, timer);
    return [];
  }
  if (isRunKnownToHaveEnded(state, endpoint, endpointStartedAt)) return [];
  return clearCrash(state, fingerprint, crash, now);
}

/** Takes a counted crash of a request back. */
function clearCrash(state: State, fingerprint: string, crash: string, now: number): Effect[] {
  const known = state.suspects.byAttribute.get(fingerprint);
  if (known === undefined || !getCountedCrashes(known).includes(crash)) return [];
  const cleared = [...known.cleared, crash].sort();
  return publishSuspects(state, [{ ...known, cleared }], now);
}

/** Takes back the crashes of the recent attempts at an endpoint that runs on. */
function clearCrashes(state: State, endpoint: string, startedAt: number, now: number): Effect[] {
  const attempts = state.forwards.unansweredAttempts.get(endpoint) ?? [];
  return attempts
    .filter(({ isBroken, endpointStartedAt }) => isBroken && endpointStartedAt === startedAt)
    .flatMap(({ fingerprint, crash }) => clearCrash(state, fingerprint, crash, now));
}

/** Checks whether an endpoint has crashed, unless a check of it is in flight. */
function checkEndpoint(state: State, endpoint: string, startedAt: number, now: number): Effect[] {
  const { fleet, forwards } = state;
  const view = fleet.views.get(endpoint);
  if (view === undefined || forwards.checkedEndpoints.has(endpoint)) return [];
  forwards.checkedEndpoints.add(endpoint);
  const relay = getRelay(state, view, now);
  return [{ type: 'checkEndpoint', endpoint, address: view.endpoint.address, relay, startedAt }];
}

/** Counts the attempts that broke together with an endpoint that crashed. */
function attributeCrash(state: State, endpoint: string, startedAt: number, now: number): Effect[] {
  const broken = (state.forwards.unansweredAttempts.get(endpoint) ?? []).filter(
    ({ isBroken, endpointStartedAt, at }) =>
      isBroken && endpointStartedAt === startedAt && at + BROKEN_WITH_ENDPOINT_MS > now,
  );
  return countSharedCrashes(state, broken, now);
}

/** Counts crashes of one endpoint against what the requests of its attempts share. */
function countSharedCrashes(
  state: State,
  attempts: readonly UnansweredAttempt[],
  now: number,
): Effect[] {
  const shared = attempts.flatMap((attempt) =>
    attempt.sent.filter(({ key }) => isSharedAttribute(key)).map((sent) => ({ attempt, sent })),
  );
  const keys = [...new Set(shared.map(({ sent }) => sent.key))];
  const suspects = keys.map((attribute) => {
    const runs = shared.filter(({ sent }) => sent.key === attribute);
    const generation = state.suspects.byAttribute.get(attribute)?.generation ?? 0;
    const streaks = runs.map(({ sent }) => (sent.generation === generation ? sent.streak : 0));
    return addCrash(state, {
      attribute,
      depth: Math.max(...runs.map(({ sent }) => sent.depth)),
      crash: runs[0] === undefined ? '' : getEndpointCrash(runs[0].attempt),
      requests: runs.map(({ attempt }) => attempt.fingerprint),
      streak: 1 + Math.max(...streaks),
    });
  });
  const [first] = attempts;
  const effects = publishSuspects(state, suspects, now);
  // The refused connection and the directory show the same crash.
  if (first === undefined || effects.length === 0) return [];
  const log = newLog('warn', 'endpoint crashed while running requests', {
    endpoint: first.endpoint,
    attempts: attempts.length,
    attributes: keys,
  });
  return [log, ...effects];
}

function rememberAttempt(
  { forwards }: State,
  { fingerprint }: Forward,
  attempt: ForwardAttempt,
  isBroken: boolean,
  now: number,
): void {
  const { endpoint, endpointStartedAt, sent } = attempt;
  const known = forwards.unansweredAttempts.get(endpoint) ?? [];
  const recent = known.filter(({ at }) => at + CRASH_VERIFICATION_DELAY_MS > now);
  const crash = getRequestCrash(attempt);
  const unanswered = { endpoint, fingerprint, sent, crash, endpointStartedAt, isBroken, at: now };
  forwards.unansweredAttempts.set(endpoint, [...recent, unanswered]);
}

/** Whether an endpoint that started at `startedAt` has stopped or restarted since. */
function hasRunEnded({ endpoint, isRemoved }: EndpointView, startedAt: number): boolean {
  return isRemoved || endpoint.startedAt > startedAt;
}

/**
 * Whether a start of an endpoint is known to have ended, also while the directory still shows its entry:
 * it refused a connection, or another endpoint started at its address.
 */
function isRunKnownToHaveEnded(
  { fleet, forwards }: State,
  endpoint: string,
  startedAt: number,
): boolean {
  const view = fleet.views.get(endpoint);
  if (view === undefined || hasRunEnded(view, startedAt)) return true;
  if (forwards.crashedEndpoints.get(endpoint)?.startedAt === startedAt) return true;
  return [...fleet.views.values()].some(
    (other) =>
      other.endpoint.address === view.endpoint.address && other.endpoint.startedAt > startedAt,
  );
}

/**
 * Whether an endpoint has refused a connection and has not registered again since; false once the
 * directory would show its crash.
 */
export function isKnownCrashed(
  { forwards }: State,
  { endpoint }: EndpointView,
  now: number,
): boolean {
  const crashed = forwards.crashedEndpoints.get(endpoint.id);
  if (crashed?.startedAt !== endpoint.startedAt) return false;
  return crashed.at + CRASH_VERIFICATION_DELAY_MS > now;
}

/** Whether the directory has been available for so long that it shows which endpoints crashed. */
function isEndpointTopicCurrent({ directory }: State, now: number): boolean {
  const { unavailableSince, recoveredAt } = directory.topics.endpoints;
  return unavailableSince === undefined && recoveredAt + CRASH_VERIFICATION_DELAY_MS <= now;
}

/** Returns the id of a crash that all attempts of the endpoint share. */
function getEndpointCrash({
  endpoint,
  endpointStartedAt,
}: Pick<UnansweredAttempt, 'endpoint' | 'endpointStartedAt'>): string {
  return `${endpoint}@${endpointStartedAt}`;
}

/** Returns the id of a crash for a request; the id of the attempt is unique over hosts and restarts. */
function getRequestCrash(attempt: ForwardAttempt): string {
  return `${getEndpointCrash(attempt)}/${attempt.id}`;
}
