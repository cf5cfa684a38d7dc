import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { Failure } from '../errors/failure.ts';
import { retryWithBudget } from './grantRequests.ts';
import { CRASH_CHECK_TIMEOUT_MS } from './constants.ts';
import { failRequest } from './requestEnd.ts';
import type { Request } from './types.ts';

/**
 * Holds a request whose attempt broke until a probe tells whether the engine crashed. Without the
 * wait, a request that crashes engines would reach the next ones before anybody suspects it.
 */
export function startCrashCheck(
  state: State,
  request: Request,
  engine: string,
  failure: Failure | undefined,
  now: number,
): Effect[] {
  request.phase = 'verifying';
  request.crashCheck = { engine, failure };
  const { id, attempts } = request;
  schedule(state, now + CRASH_CHECK_TIMEOUT_MS, { type: 'crashCheckTimeout', id, attempts });
  const address = state.configuration.engines.get(engine)?.address;
  return address === undefined ? [] : [{ type: 'readEngine', engine, address }];
}

/** Continues the requests that waited for news of `engine`. */
export function endCrashChecks(state: State, engine: string, now: number): Effect[] {
  return [...state.requests.inFlight.values()]
    .filter((request) => request.crashCheck?.engine === engine)
    .flatMap((request) => endCrashCheck(state, request, now));
}

/** Retries or fails a request after the probe of its engine was answered or took too long. */
export function endCrashCheck(state: State, request: Request, now: number): Effect[] {
  const failure = request.crashCheck?.failure;
  request.crashCheck = undefined;
  return failure === undefined
    ? retryWithBudget(state, request, now)
    : failRequest(state, request, failure);
}
