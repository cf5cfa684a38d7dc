import type { Effect } from '../core/effects.ts';
import { newCount, newObserve } from '../core/observations.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import { dropEndpoint } from '../directory/apply.ts';
import { recordAnswer, recordUnansweredAttempt } from '../fleet/health.ts';
import type { EndpointView } from '../fleet/types.ts';
import { recordRefusal } from '../notices/brittleness.ts';
import { MAX_PATH_CHANGES } from '../paths/constants.ts';
import { recordPathOutcome } from '../paths/pathOutcomes.ts';
import { getRelay } from '../paths/relayChoice.ts';
import { recordCompletion } from '../suspects/crashes.ts';
import { getQuarantine } from '../suspects/quarantine.ts';
import { recordBrokenForwardAttempt, recordCancelledForwardAttempt } from './crashEvidence.ts';
import {
  abandonForward,
  endForward,
  newAttemptLog,
  releaseForwardReservation,
} from './forwardEnd.ts';
import { placeForward, retryUnrun } from './forwardPlacement.ts';
import { hasAttemptsLeft, isRetryAllowed } from './repetition.ts';
import { recordStream } from './resumption.ts';
import type { Forward, ForwardAttempt, ForwardOutcome } from './types.ts';

interface OutcomeContext {
  state: State;
  forward: Forward;
  attempt: ForwardAttempt;
  view: EndpointView | undefined;
  now: number;
}

type OutcomeHandlers = {
  [T in ForwardOutcome['type']]: (
    context: OutcomeContext,
    outcome: Extract<ForwardOutcome, { type: T }>,
  ) => Effect[];
};

const outcomeHandlers: OutcomeHandlers = {
  passed: ({ state, forward, attempt, view, now }, { longestPauseMs }) => {
    forward.longestPauseMs = Math.round(longestPauseMs);
    if (view !== undefined) recordAnswer(view, now - attempt.startedAt, true);
    return [
      ...recordCompletion(state, getKeys(forward), now),
      ...releaseForwardReservation(state, forward),
      ...endForward(state, forward, 'completed'),
      { type: 'endResponse', id: forward.id },
    ];
  },
  answered: ({ state, forward, attempt, view, now }, { status }) => {
    const isGood = status < 500;
    if (view !== undefined) recordAnswer(view, now - attempt.startedAt, isGood);
    const cleared = recordCompletion(state, getCompletedKeys(forward, status), now);
    forward.ranOn.add(attempt.endpoint);
    if (!isGood && hasAttemptsLeft(forward) && isRetryAllowed(forward)) {
      forward.excluded.add(attempt.endpoint);
      forward.lastReason = `the endpoint answered with status ${status}`;
      forward.hasFailedResponse = true;
      return [
        ...cleared,
        ...releaseForwardReservation(state, forward),
        ...placeForward(state, forward, now),
      ];
    }
    return [
      ...cleared,
      ...releaseForwardReservation(state, forward),
      ...endForward(state, forward, isGood ? 'completed' : 'endpoint_failed', `status ${status}`),
      { type: 'passResponse', id: forward.id },
    ];
  },
  notRun: (context, { reason }) => {
    const { state, forward, attempt, view, now } = context;
    forward.refusedBy.add(attempt.endpoint);
    const dropped = reason === 'otherEndpoint' ? dropEndpoint(state, attempt.endpoint, now) : [];
    if (reason === 'full' && view !== undefined) {
      recordAnswer(view, now - attempt.startedAt, false);
      if (attempt.owner === undefined) recordRefusal(view, now);
    }
    // An engine without the adapter can be chosen again: its owner learns that it is missing.
    if (reason !== 'adapterMissing' || attempt.owner === undefined) {
      forward.excluded.add(attempt.endpoint);
    }
    const released = releaseForwardReservation(
      state,
      forward,
      reason === 'adapterMissing' ? 'missing' : 'ended',
      reason === 'full' ? true : undefined,
    );
    const retried = retryUnrun(
      state,
      forward,
      `the endpoint did not run the request: ${reason}`,
      now,
    );
    return [...dropped, ...released, ...retried];
  },
  unreachable: (context, { reason }) => {
    const { state, forward, attempt, view, now } = context;
    if (!hasOtherPath(context)) {
      if (view !== undefined) recordUnansweredAttempt(view, now);
      forward.excluded.add(attempt.endpoint);
    }
    forward.lastReason = `the endpoint is unreachable: ${reason}`;
    // The endpoint received nothing, so the attempt counts neither as a send nor against the
    // budget.
    forward.sends -= 1;
    return [...releaseForwardReservation(state, forward), ...placeForward(state, forward, now)];
  },
  broken: (context, { reason, lastEventId, problem }) => {
    const { state, forward, attempt, view, now } = context;
    if (view !== undefined && !hasOtherPath(context)) recordUnansweredAttempt(view, now);
    forward.isTrial = false;
    // An attempt whose path was lost tells nothing of its endpoint.
    const record =
      problem === 'silent' ? recordCancelledForwardAttempt : recordBrokenForwardAttempt;
    const recorded = record(state, forward, attempt, now);
    forward.ranOn.add(attempt.endpoint);
    forward.excluded.add(attempt.endpoint);
    forward.lastEventId = lastEventId ?? forward.lastEventId;
    forward.lastReason = `the endpoint sent no complete response: ${reason}`;
    const released = [...recorded, ...releaseForwardReservation(state, forward)];
    const mayRetry =
      hasAttemptsLeft(forward) &&
      isRetryAllowed(forward) &&
      getQuarantine(state, forward.attributes, now) === undefined;
    if (mayRetry) return [...released, ...placeForward(state, forward, now)];
    forward.mayHaveRun = true;
    return [...released, ...abandonForward(state, forward, forward.lastReason)];
  },
  unsent: ({ state, forward }) => {
    forward.sends -= 1;
    return releaseForwardReservation(state, forward);
  },
  cancelled: () => [],
};

/** Records that the first byte of an attempt's response was passed on. */
export function startForwardResponse(
  state: State,
  forward: Forward,
  { endpoint: engine, owner, softwareVersion }: ForwardAttempt,
  now: number,
): Effect[] {
  const { id, route, arrivedAt } = forward;
  forward.hasResponseStarted = true;
  forward.firstByteAt ??= now;
  if (route.kind === 'stream') forward.origin ??= { softwareVersion };
  const startedMessages =
    owner === undefined
      ? []
      : [sendMessage(state, owner, { type: 'placeStarted', request: id, engine })];
  const labels = { firm: '', kind: route.kind };
  return [
    ...recordStream(state, forward, now),
    ...startedMessages,
    newObserve('fireflywick_first_token_ms', labels, now - arrivedAt),
  ];
}

/**
 * Ends an attempt: passes its response on, retries the request where that is allowed, or fails it.
 */
export function endForwardAttempt(
  state: State,
  forward: Forward,
  attempt: ForwardAttempt,
  outcome: ForwardOutcome,
  now: number,
): Effect[] {
  const view = state.fleet.views.get(attempt.endpoint);
  const end = outcomeHandlers[outcome.type] as (
    context: OutcomeContext,
    outcome: ForwardOutcome,
  ) => Effect[];
  forward.bodyEnd = 'bodyEnd' in outcome ? outcome.bodyEnd : undefined;
  const learned = recordPathOutcome(state, attempt, outcome, now);
  const hasResponse = outcome.type === 'passed' || outcome.type === 'answered';
  const log = hasResponse
    ? []
    : [
        newAttemptLog(
          forward,
          attempt,
          outcome.type,
          'reason' in outcome ? outcome.reason : undefined,
          now,
        ),
      ];
  return [
    newCount('fireflywick_attempts_total', { result: outcome.type }),
    ...log,
    ...learned,
    ...end({ state, forward, attempt, view, now }, outcome),
  ];
}

/** Whether the endpoint of a failed attempt can be tried again over another path. */
function hasOtherPath({ state, forward, attempt, view, now }: OutcomeContext): boolean {
  if (view === undefined || forward.pathChanges >= MAX_PATH_CHANGES) return false;
  if (getRelay(state, view, now)?.host === attempt.relay) return false;
  forward.pathChanges += 1;
  return true;
}

/**
 * Returns the attributes that an answer speaks for. An endpoint that fails a request may not have run
 * it, and one that refuses it says nothing of what it shares with others.
 */
function getCompletedKeys(forward: Forward, status: number): string[] {
  if (status >= 500) return [];
  return status < 400 ? getKeys(forward) : [forward.fingerprint];
}

function getKeys({ attributes }: Forward): string[] {
  return attributes.map(({ key }) => key);
}
