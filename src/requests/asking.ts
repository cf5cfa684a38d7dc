import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import { newCount } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { Failure } from '../errors/failure.ts';
import { updateSent } from '../engines/views.ts';
import { chooseSuspectPlacement } from '../suspects/placement.ts';
import { checkQuarantine, getSuspicion } from '../suspects/suspicion.ts';
import { choosePlacement } from '../routing/placement.ts';
import { ASK_TIMEOUT_MS, MAX_ATTEMPTS, RETRY_BASE_MS, RETRY_MAX_MS } from './constants.ts';
import { failRequest } from './ending.ts';
import type { Request } from './types.ts';

/** Asks the owner of the best engine for a grant; fails the request when no engine can take it. */
export function askForGrant(state: State, request: Request, now: number): Effect[] {
  const { fingerprint } = request;
  const quarantine = checkQuarantine(state, fingerprint, request.mayHaveRun);
  if (quarantine !== undefined) return failRequest(state, request, quarantine);
  const isSuspect = getSuspicion(state, fingerprint) === 'suspect';
  const placement = isSuspect
    ? chooseSuspectPlacement(state, request)
    : choosePlacement(state, request);
  if (placement === undefined) {
    return failRequest(state, request, getUnavailableFailure(request));
  }
  request.phase = 'asking';
  request.ask += 1;
  request.asked = { engine: placement.engine, owner: placement.owner.host };
  updateSent(state.engines, placement.engine, 1);
  return sendAsk(state, request, request.asked, now);
}

/**
 * Sends the current ask to the owner; sending it again keeps its place in the owner's queue, and
 * has the owner repeat a grant whose message was lost.
 */
export function sendAsk(
  state: State,
  request: Request,
  { engine, owner }: { engine: string; owner: string },
  now: number,
): Effect[] {
  const { fingerprint } = request;
  schedule(state, now + ASK_TIMEOUT_MS, { type: 'askTimeout', id: request.id, ask: request.ask });
  return [
    deliver(state, owner, {
      type: 'grantAsk',
      request: request.id,
      ask: request.ask,
      engine,
      model: request.model,
      firm: request.firm,
      kind: request.kind,
      priority: request.priority,
      remainingMs: request.deadline - now,
      fingerprint,
      suspect: state.suspects.byFingerprint.get(fingerprint),
      maxTokens: request.maxTokens,
    }),
  ];
}

/** Retries after a failed attempt; fails the request when its attempts or the budget are used up. */
export function retryLater(state: State, request: Request, now: number): Effect[] {
  if (request.attempts < MAX_ATTEMPTS && !state.requests.retries.takeRetry(now)) {
    const message = `request ${request.id} failed and the retry budget is used up`;
    const outcome = request.mayHaveRun ? 'unknown' : 'not_run';
    return failRequest(state, request, Failure.create('overloaded', message, { outcome }));
  }
  return retryUnsent(state, request, now);
}

/** Retries after an attempt that put no load on an engine, which needs no retry budget. */
export function retryUnsent(state: State, request: Request, now: number): Effect[] {
  request.attempt = undefined;
  request.asked = undefined;
  if (request.attempts >= MAX_ATTEMPTS) {
    const message = `request ${request.id} failed ${request.attempts} times`;
    const outcome = request.mayHaveRun ? 'unknown' : 'not_run';
    return failRequest(state, request, Failure.create('engine_failed', message, { outcome }));
  }
  return [
    ...askLater(state, request, now),
    newCount('fireflywick_decisions_total', { decision: 'retried', reason: 'failed' }),
  ];
}

/** Asks again after a backoff with full jitter. An owner's refusal is no attempt. */
export function askLater(state: State, request: Request, now: number): Effect[] {
  request.asked = undefined;
  request.phase = 'backoff';
  const tries = request.attempts + request.excluded.size;
  const limit = Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** tries);
  const at = now + state.random.getFraction() * limit;
  schedule(state, at, { type: 'requestRetry', id: request.id });
  return [];
}

function getUnavailableFailure(request: Request): Failure {
  const reason = request.lastRefusal ?? 'no engine can take it';
  return Failure.create(
    'adapter_unavailable',
    `no engine can run adapter "${request.model}" now: ${reason}`,
    { outcome: request.mayHaveRun ? 'unknown' : 'not_run' },
  );
}
