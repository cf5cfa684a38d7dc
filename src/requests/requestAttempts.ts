import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newCount } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import type { EngineView } from '../engines/types.ts';
import { endPause, startPause } from '../notices/pauses.ts';
import { retryWithBudget, retryWithoutBudget } from './grantRequests.ts';
import { failRequest, finishRequest } from './requestEnd.ts';
import { recordBrokenEngineAttempt } from '../suspects/crashes.ts';
import { startCrashCheck } from './crashCheck.ts';
import type { Attempt, AttemptOutcome, Request } from './types.ts';

type GrantResult = 'completed' | 'failed' | 'crashed' | 'unused';

interface Ending {
  result: GrantResult;
  /** Whether the engine may have run the request. */
  mayHaveRun: boolean;
  next: (state: State, request: Request, now: number) => Effect[];
}

type EndingTable = {
  [T in AttemptOutcome['type']]: (
    outcome: Extract<AttemptOutcome, { type: T }>,
    attempt: Attempt,
    request: Request,
  ) => Ending;
};

/** Whether the status rejects the request itself, so that a retry elsewhere would fail too. */
function isFinalRefusal(status: number): boolean {
  return status >= 400 && status < 500 && status !== 404 && status !== 408 && status !== 429;
}

const endings: EndingTable = {
  completed: () => ({ result: 'completed', mayHaveRun: true, next: finishRequest }),
  notResident: () => ({ result: 'unused', mayHaveRun: false, next: retryWithoutBudget }),
  unreachable: () => ({ result: 'unused', mayHaveRun: false, next: retryWithoutBudget }),
  cancelled: () => ({ result: 'failed', mayHaveRun: true, next: () => [] }),
  refused: ({ status, message }) => ({
    result: 'failed',
    // A server error may occur after the engine began to run the request.
    mayHaveRun: status >= 500,
    next: isFinalRefusal(status)
      ? (state, request) =>
          failRequest(
            state,
            request,
            Failure.create('bad_request', `the engine rejected the request: ${message}`, {
              outcome: request.mayHaveRun ? 'unknown' : 'not_run',
            }),
          )
      : retryWithBudget,
  }),
  wrongAdapter: ({ reported }, attempt, { model }) => ({
    result: 'failed',
    mayHaveRun: true,
    next: attempt.hasResponseStarted
      ? (state, request) =>
          failRequest(
            state,
            request,
            Failure.create(
              'wrong_adapter',
              `the engine ran adapter "${reported}" instead of "${model}"`,
            ),
          )
      : retryWithBudget,
  }),
  broken: ({ reason }, attempt) => ({
    result: 'crashed',
    mayHaveRun: true,
    next: (state, request, now) => {
      const failure = attempt.hasResponseStarted
        ? Failure.create('stream_broken', `the response stream broke: ${reason}`)
        : undefined;
      recordBrokenEngineAttempt(state, attempt.engine, { ...request, bootId: attempt.bootId }, now);
      return startCrashCheck(state, request, attempt.engine, failure, now);
    },
  }),
};

/** Ends an attempt: releases its grant, then completes, retries or fails the request. */
export function endRequestAttempt(
  state: State,
  request: Request,
  attempt: Attempt,
  outcome: AttemptOutcome,
  now: number,
): Effect[] {
  const ending = getEnding(outcome, attempt, request);
  request.mayHaveRun ||= ending.mayHaveRun;
  request.attempt = undefined;
  if (outcome.type !== 'completed') request.excluded.add(attempt.engine);
  const view = state.engines.views.get(attempt.engine);
  if (view !== undefined) {
    view.sentSinceReport = Math.max(0, view.sentSinceReport - 1);
    updatePause(view, attempt, outcome, now);
  }
  return [
    newCount('fireflywick_attempts_total', { result: outcome.type }),
    sendMessage(state, attempt.owner, {
      type: 'grantReleased',
      request: request.id,
      engine: attempt.engine,
      grant: attempt.grant,
      bootId: attempt.bootId,
      result: ending.result,
    }),
    ...ending.next(state, request, now),
  ];
}

/** Applies what the outcome of an attempt says of the time in which its engine wants no requests. */
function updatePause(
  view: EngineView,
  { sentAt }: Attempt,
  outcome: AttemptOutcome,
  now: number,
): void {
  if (outcome.type === 'completed') endPause(view, sentAt);
  if (outcome.type === 'refused' && outcome.pause?.type === 'pause')
    startPause(view, outcome.pause.ms, sentAt, now);
}

function getEnding(outcome: AttemptOutcome, attempt: Attempt, request: Request): Ending {
  const newEnding = endings[outcome.type] as (o: AttemptOutcome, a: Attempt, r: Request) => Ending;
  return newEnding(outcome, attempt, request);
}
