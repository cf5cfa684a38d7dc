import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import { newCount } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { Failure } from '../errors/failure.ts';
import { isFullMesh } from '../membership/hosts.ts';
import { openOnDemandLink } from '../membership/linkSelection.ts';
import { updateSent } from '../engines/views.ts';
import { chooseSuspectPlacement } from '../suspects/placement.ts';
import { checkElsewhere, checkQuarantine, getSuspicion } from '../suspects/suspicion.ts';
import { readRow } from '../suspects/table.ts';
import { type CanAsk, choosePlacement } from '../routing/placement.ts';
import {
  ASK_TIMEOUT_MS,
  LINK_WAIT_MS,
  MAX_ATTEMPTS,
  RETRY_BASE_MS,
  RETRY_MAX_MS,
  SUSPECT_WAIT_MS,
} from './constants.ts';
import { failRequest } from './ending.ts';
import type { Request } from './types.ts';

/** Asks the owner of the best engine for a grant; fails the request when no engine can take it. */
export function askForGrant(state: State, request: Request, now: number): Effect[] {
  const { fingerprint } = request;
  const quarantine = checkQuarantine(state, fingerprint, request.mayHaveRun);
  if (quarantine !== undefined) return failRequest(state, request, quarantine);
  const isSuspect = getSuspicion(state, fingerprint) === 'suspect';
  const elsewhere = isSuspect
    ? checkElsewhere(state, fingerprint, now, request.mayHaveRun)
    : undefined;
  if (elsewhere !== undefined) {
    if (request.hasReadSuspect) return failRequest(state, request, elsewhere);
    return waitForSuspect(state, request, now);
  }
  const choose = (canAsk?: CanAsk) =>
    isSuspect
      ? chooseSuspectPlacement(state, request, canAsk)
      : choosePlacement(state, request, now, canAsk);
  const placement = choose();
  if (placement === undefined) {
    const linked = choose((owner) => canLink(state, request, owner));
    if (linked === undefined) return failRequest(state, request, getUnavailableFailure(request));
    return waitForLink(state, request, linked.owner.host, now);
  }
  const owner = placement.owner.host;
  request.phase = 'asking';
  request.ask += 1;
  request.asked = { engine: placement.engine, owner };
  updateSent(state.engines, placement.engine, 1);
  const isInMesh = isFullMesh(state) || getZone(state, owner) === state.host.zone;
  const kept = isInMesh ? [] : openOnDemandLink(state, owner, now);
  return [...kept, ...sendAsk(state, request, request.asked, now)];
}

/** Continues the requests that wait for the row of their suspect. */
export function continueSuspect(state: State, fingerprint: string, now: number): Effect[] {
  return [...state.requests.inFlight.values()]
    .filter((request) => request.phase === 'backoff' && request.hasReadSuspect)
    .filter((request) => request.fingerprint === fingerprint)
    .flatMap((request) => askForGrant(state, request, now));
}

/** Reads the row of a suspect, which may have been quarantined elsewhere just now. */
function waitForSuspect(state: State, request: Request, now: number): Effect[] {
  request.phase = 'backoff';
  request.hasReadSuspect = true;
  schedule(state, now + SUSPECT_WAIT_MS, { type: 'requestRetry', id: request.id });
  return [readRow(request.fingerprint)];
}

/** Places the requests anew that wait for a grant of `host`, whose link closed. */
export function moveAsks(state: State, host: string, now: number): Effect[] {
  const effects: Effect[] = [];
  for (const request of [...state.requests.inFlight.values()]) {
    if (request.phase !== 'asking' || request.asked?.owner !== host) continue;
    updateSent(state.engines, request.asked.engine, -1);
    request.asked = undefined;
    effects.push(...askForGrant(state, request, now));
  }
  return effects;
}

/** Places the requests that wait for a link to `host`, which is open now. */
export function continueLinked(state: State, host: string, now: number): Effect[] {
  return [...state.requests.inFlight.values()]
    .filter(({ phase, linkedTo }) => phase === 'backoff' && linkedTo.has(host))
    .flatMap((request) => askForGrant(state, request, now));
}

/** Whether a link to an owner of another zone can be opened that was not tried for the request. */
function canLink(state: State, request: Request, owner: string): boolean {
  const entry = state.membership.hosts.get(owner);
  if (entry === undefined || entry.state === 'gone' || isFullMesh(state)) return false;
  return entry.zone !== state.host.zone && !request.linkedTo.has(owner);
}

function waitForLink(state: State, request: Request, owner: string, now: number): Effect[] {
  request.phase = 'backoff';
  request.linkedTo.add(owner);
  schedule(state, now + LINK_WAIT_MS, { type: 'requestRetry', id: request.id });
  return openOnDemandLink(state, owner, now);
}

function getZone(state: State, host: string): string | undefined {
  return host === state.host.id ? state.host.zone : state.membership.hosts.get(host)?.zone;
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
  const tries = request.attempts + request.excluded.size + request.moves;
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
