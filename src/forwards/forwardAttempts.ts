import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { dropEndpoint } from '../directory/apply.ts';
import { recordAnswer, recordUnansweredAttempt } from '../fleet/health.ts';
import type { EndpointView } from '../fleet/types.ts';
import {
  clearBrokenForwardAttempts,
  isForwardQuarantined,
  recordBrokenForwardAttempt,
} from './quarantine.ts';
import { endForward, abandonForward, releaseForwardReservation } from './forwardEnd.ts';
import { placeForward } from './forwardPlacement.ts';
import { scheduleRetry } from './sending.ts';
import type { Forward, ForwardAttempt, ForwardOutcome } from './types.ts';

interface Context {
  state: State;
  forward: Forward;
  attempt: ForwardAttempt;
  view: EndpointView | undefined;
  now: number;
}

type Endings = {
  [T in ForwardOutcome['type']]: (
    context: Context,
    outcome: Extract<ForwardOutcome, { type: T }>,
  ) => Effect[];
};

const endings: Endings = {
  passed: ({ state, forward, attempt, view, now }, { longestPauseMs }) => {
    forward.longestPauseMs = Math.round(longestPauseMs);
    if (view !== undefined) recordAnswer(view, now - attempt.startedAt, true);
    clearBrokenForwardAttempts(state, forward.fingerprint);
    return [
      ...releaseForwardReservation(state, forward),
      ...endForward(state, forward, 'completed'),
      { type: 'endResponse', id: forward.id },
    ];
  },
  answered: ({ state, forward, attempt, view, now }, { status }) => {
    const isGood = status < 500;
    if (view !== undefined) recordAnswer(view, now - attempt.startedAt, isGood);
    clearBrokenForwardAttempts(state, forward.fingerprint);
    forward.ranOn.add(attempt.endpoint);
    if (!isGood && canRunAgain(forward) && canRepeat(forward)) {
      forward.excluded.add(attempt.endpoint);
      forward.lastReason = `endpoint answered ${status}`;
      forward.hasFailedResponse = true;
      return [...releaseForwardReservation(state, forward), ...placeForward(state, forward, now)];
    }
    return [
      ...releaseForwardReservation(state, forward),
      ...endForward(state, forward, isGood ? 'completed' : 'endpoint_failed', `status ${status}`),
      { type: 'passResponse', id: forward.id },
    ];
  },
  notRun: (context, { reason }) => {
    const { state, forward, attempt, view, now } = context;
    const dropped = reason === 'otherEndpoint' ? dropEndpoint(state, attempt.endpoint, now) : [];
    if (reason === 'full' && view !== undefined) recordAnswer(view, now - attempt.startedAt, false);
    // Without the adapter the same engine is a good choice again once its owner knows.
    if (reason !== 'adapterMissing' || attempt.owner === undefined) {
      forward.excluded.add(attempt.endpoint);
    }
    const released = releaseForwardReservation(
      state,
      forward,
      reason === 'adapterMissing' ? 'missing' : 'ended',
    );
    const retried = scheduleRetry(state, forward, `endpoint did not run it: ${reason}`, now);
    return [...dropped, ...released, ...retried];
  },
  unreachable: ({ state, forward, attempt, view, now }, { reason }) => {
    if (view !== undefined) recordUnansweredAttempt(view, now);
    forward.excluded.add(attempt.endpoint);
    forward.lastReason = `endpoint could not be reached: ${reason}`;
    // Nothing arrived there, so it counts neither as a send nor against the budget.
    forward.sends -= 1;
    return [...releaseForwardReservation(state, forward), ...placeForward(state, forward, now)];
  },
  broken: ({ state, forward, attempt, view, now }, { reason, lastEventId }) => {
    if (view !== undefined) recordUnansweredAttempt(view, now);
    recordBrokenForwardAttempt(state, forward.fingerprint, now);
    forward.ranOn.add(attempt.endpoint);
    forward.excluded.add(attempt.endpoint);
    forward.lastEventId = lastEventId ?? forward.lastEventId;
    forward.lastReason = `answer broke off: ${reason}`;
    const released = releaseForwardReservation(state, forward);
    const mayRepeat =
      canRunAgain(forward) &&
      canRepeat(forward) &&
      !isForwardQuarantined(state, forward.fingerprint, now);
    if (mayRepeat) return [...released, ...placeForward(state, forward, now)];
    forward.mayHaveRun = true;
    return [...released, ...abandonForward(state, forward, forward.lastReason)];
  },
  cancelled: () => [],
};

/** Ends an attempt: passes its answer on, repeats the request where that is allowed, or fails it. */
export function endForwardAttempt(
  state: State,
  forward: Forward,
  attempt: ForwardAttempt,
  outcome: ForwardOutcome,
  now: number,
): Effect[] {
  const view = state.fleet.views.get(attempt.endpoint);
  const end = endings[outcome.type] as (context: Context, outcome: ForwardOutcome) => Effect[];
  const isUsual = outcome.type === 'passed' || outcome.type === 'answered';
  const log = isUsual
    ? []
    : [
        newLog('info', 'attempt ended', {
          requestId: forward.labels.attemptId,
          endpoint: attempt.endpoint,
          owner: attempt.owner,
          outcome: outcome.type,
          reason: 'reason' in outcome ? outcome.reason : undefined,
          elapsedMs: Math.round(now - attempt.startedAt),
        }),
      ];
  return [
    newCount('fireflywick_attempts_total', { result: outcome.type }),
    ...log,
    ...end({ state, forward, attempt, view, now }, outcome),
  ];
}

/** Whether the kind of the request allows that it runs more than once. */
function canRepeat({ route, hasResponseStarted: hasStarted }: Forward): boolean {
  if (route.kind === 'safe') return !hasStarted;
  return route.kind === 'stream' && route.isResumable;
}

function canRunAgain({ ranOn, route }: Forward): boolean {
  return ranOn.size < route.attempts;
}
