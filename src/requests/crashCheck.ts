import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { Failure } from '../errors/failure.ts';
import { retryWithBudget } from './grantRequests.ts';
import { CRASH_CHECK_TIMEOUT_MS } from './constants.ts';
import { failRequest } from './requestEnd.ts';
import type { Request } from './types.ts';

/**
 * Probes the engine of a broken attempt and holds the request until the probe ends. Otherwise
 * a request that crashes engines would reach further engines before it is marked as a suspect.
 */
export function startCrashCheck(
  state: State,
  request: Request,
  engine: string,
  failure: Failure | undefined,
  now: number,
): Effect[] {
  request.phase = 'awaitingProbe';
  request.crashCheck = { engine, failure };
  const { id, attempts } = request;
  schedule(state, now + CRASH_CHECK_TIMEOUT_MS, { type: 'crashCheckTimeout', id, attempts });
  const address = state.configuration.engines.get(engine)?.address;
  return address === undefined ? [] : [{ type: 'readEngine', engine, address }];
}

/** Ends the crash checks of all requests that wait for a probe of `engine`. */
export function endCrashChecks(state: State, engine: string, now: number): Effect[] {
  return [...state.requests.inFlight.values()]
    .filter((request) => request.crashCheck?.engine === engine)
    .flatMap((request) => endCrashCheck(state, request, now));
}

/** Retries or fails a request whose probe was answered or timed out. */
export function endCrashCheck(state: State, request: Request, now: number): Effect[] {
  const failure = request.crashCheck?.failure;
  request.crashCheck = undefined;
  return failure === undefined
    ? retryWithBudget(state, request, now)
    : failRequest(state, request, failure);
}
