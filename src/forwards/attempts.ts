import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { dropEndpoint } from '../directory/apply.ts';
import { noteAnswer, noteSilence } from '../fleet/health.ts';
import type { EndpointView } from '../fleet/types.ts';
import { clearBreaks, isCrasher, noteBreak } from './crashes.ts';
import { endForward, giveUp, releaseAll } from './ending.ts';
import { place } from './placing.ts';
import { retryLater } from './sending.ts';
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
    if (view !== undefined) noteAnswer(view, now - attempt.startedAt, true);
    clearBreaks(state, forward.fingerprint);
    return [
      ...releaseAll(state, forward),
      ...endForward(state, forward, 'completed'),
      { type: 'endAnswer', id: forward.id },
    ];
  },
  answered: ({ state, forward, attempt, view, now }, { status }) => {
    const isGood = status < 500;
    if (view !== undefined) noteAnswer(view, now - attempt.startedAt, isGood);
    clearBreaks(state, forward.fingerprint);
    forward.ranOn.add(attempt.endpoint);
    if (!isGood && canRunAgain(forward) && canRepeat(forward)) {
      forward.excluded.add(attempt.endpoint);
      forward.lastReason = `endpoint answered ${status}`;
      forward.hasAnswer = true;
      return [...releaseAll(state, forward), ...place(state, forward, now)];
    }
    return [
      ...releaseAll(state, forward),
      ...endForward(state, forward, isGood ? 'completed' : 'endpoint_failed', `status ${status}`),
      { type: 'passAnswer', id: forward.id },
    ];
  },
  notRun: (context, { reason }) => {
    const { state, forward, attempt, view, now } = context;
    const dropped = reason === 'otherEndpoint' ? dropEndpoint(state, attempt.endpoint, now) : [];
    if (reason === 'full' && view !== undefined) noteAnswer(view, now - attempt.startedAt, false);
    // Without the adapter the same engine is a good choice again once its owner knows.
    if (reason !== 'adapterMissing' || attempt.owner === undefined) {
      forward.excluded.add(attempt.endpoint);
    }
    const released = releaseAll(state, forward, reason === 'adapterMissing' ? 'missing' : 'ended');
    const retried = retryLater(state, forward, `endpoint did not run it: ${reason}`, now);
    return [...dropped, ...released, ...retried];
  },
  unreachable: ({ state, forward, attempt, view, now }, { reason }) => {
    if (view !== undefined) noteSilence(view, now);
    forward.excluded.add(attempt.endpoint);
    forward.lastReason = `endpoint could not be reached: ${reason}`;
    // Nothing arrived there, so it counts neither as a send nor against the budget.
    forward.sends -= 1;
    return [...releaseAll(state, forward), ...place(state, forward, now)];
  },
  broken: ({ state, forward, attempt, view, now }, { reason, lastEventId }) => {
    if (view !== undefined) noteSilence(view, now);
    noteBreak(state, forward.fingerprint, now);
    forward.ranOn.add(attempt.endpoint);
    forward.excluded.add(attempt.endpoint);
    forward.lastEventId = lastEventId ?? forward.lastEventId;
    forward.lastReason = `answer broke off: ${reason}`;
    const released = releaseAll(state, forward);
    const mayRepeat =
      canRunAgain(forward) && canRepeat(forward) && !isCrasher(state, forward.fingerprint, now);
    if (mayRepeat) return [...released, ...place(state, forward, now)];
    forward.mayHaveRun = true;
    return [...released, ...giveUp(state, forward, forward.lastReason)];
  },
  cancelled: () => [],
};

/** Ends an attempt: passes its answer on, repeats the request where that is allowed, or fails it. */
export function endAttempt(
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
function canRepeat({ route, hasStarted }: Forward): boolean {
  if (route.kind === 'safe') return !hasStarted;
  return route.kind === 'stream' && route.isResumable;
}

function canRunAgain({ ranOn, route }: Forward): boolean {
  return ranOn.size < route.attempts;
}
