import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newCount } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { Failure } from '../errors/failure.ts';
import { isFullMesh } from '../membership/hosts.ts';
import { openOnDemandLink } from '../membership/linkSelection.ts';
import { getModelPauseMs } from '../engines/availability.ts';
import { adjustSentSinceReport } from '../engines/views.ts';
import { chooseSuspectPlacement } from '../suspects/suspectPlacement.ts';
import {
  getUnreachableCrashFailure,
  getQuarantineFailure,
  getSuspicion,
} from '../suspects/suspicion.ts';
import { readSuspectRow } from '../suspects/suspectRows.ts';
import { type OwnerFilter, choosePlacement } from '../routing/placement.ts';
import {
  GRANT_REQUEST_TIMEOUT_MS,
  LINK_OPEN_TIMEOUT_MS,
  MAX_ATTEMPTS,
  GRANT_RETRY_BASE_MS,
  GRANT_RETRY_MAX_MS,
  SUSPECT_READ_TIMEOUT_MS,
} from './constants.ts';
import { failRequest } from './requestEnd.ts';
import type { Request } from './types.ts';

/** Requests a grant from the owner of the best engine; fails the request without an engine. */
export function requestGrant(state: State, request: Request, now: number): Effect[] {
  const { fingerprint } = request;
  const quarantine = getQuarantineFailure(state, fingerprint, request.mayHaveRun);
  if (quarantine !== undefined) return failRequest(state, request, quarantine);
  const isSuspect = getSuspicion(state, fingerprint) === 'suspect';
  const unreachableCrash = isSuspect
    ? getUnreachableCrashFailure(state, fingerprint, now, request.mayHaveRun)
    : undefined;
  if (unreachableCrash !== undefined) {
    if (request.hasRequestedSuspectRow) return failRequest(state, request, unreachableCrash);
    return waitForSuspect(state, request, now);
  }
  const choose = (ownerFilter?: OwnerFilter) =>
    isSuspect
      ? chooseSuspectPlacement(state, request, ownerFilter)
      : choosePlacement(state, request, now, ownerFilter);
  const placement = choose();
  if (placement === undefined) {
    const placementAfterLink = choose((owner) => canLink(state, request, owner));
    if (placementAfterLink === undefined)
      return failRequest(state, request, getUnavailableFailure(state, request));
    return waitForLink(state, request, placementAfterLink.owner.host, now);
  }
  const owner = placement.owner.host;
  request.phase = 'awaitingOwner';
  request.grantRequestNumber += 1;
  request.pendingGrant = { engine: placement.engine, owner };
  adjustSentSinceReport(state.engines, placement.engine, 1);
  const isInMesh = isFullMesh(state) || getZone(state, owner) === state.host.zone;
  const linkEffects = isInMesh ? [] : openOnDemandLink(state, owner, now);
  return [...linkEffects, ...sendGrantRequest(state, request, request.pendingGrant, now)];
}

/** Requests grants for the requests that wait for their suspect row, which has been read. */
export function resumeRequestsWaitingForSuspect(
  state: State,
  fingerprint: string,
  now: number,
): Effect[] {
  return [...state.requests.inFlight.values()]
    .filter((request) => request.phase === 'backoff' && request.hasRequestedSuspectRow)
    .filter((request) => request.fingerprint === fingerprint)
    .flatMap((request) => requestGrant(state, request, now));
}

/** Backs off while the suspect row is read; another zone may have quarantined the request. */
function waitForSuspect(state: State, request: Request, now: number): Effect[] {
  request.phase = 'backoff';
  request.hasRequestedSuspectRow = true;
  schedule(state, now + SUSPECT_READ_TIMEOUT_MS, { type: 'requestRetry', id: request.id });
  return [readSuspectRow(request.fingerprint)];
}

/** Requests new grants for the requests that wait for one from `host`, whose link closed. */
export function rerouteRequestsFromOwner(state: State, host: string, now: number): Effect[] {
  const effects: Effect[] = [];
  for (const request of [...state.requests.inFlight.values()]) {
    if (request.phase !== 'awaitingOwner' || request.pendingGrant?.owner !== host) continue;
    adjustSentSinceReport(state.engines, request.pendingGrant.engine, -1);
    request.pendingGrant = undefined;
    effects.push(...requestGrant(state, request, now));
  }
  return effects;
}

/** Requests grants for the requests that wait for the link to `host`, which is now open. */
export function resumeRequestsWaitingForLink(state: State, host: string, now: number): Effect[] {
  return [...state.requests.inFlight.values()]
    .filter(({ phase, linkedOwners }) => phase === 'backoff' && linkedOwners.has(host))
    .flatMap((request) => requestGrant(state, request, now));
}

/** Whether a link to this owner in another zone can be opened and was not tried for the request. */
function canLink(state: State, request: Request, owner: string): boolean {
  const entry = state.membership.hosts.get(owner);
  if (entry === undefined || entry.state === 'gone' || isFullMesh(state)) return false;
  return entry.zone !== state.host.zone && !request.linkedOwners.has(owner);
}

function waitForLink(state: State, request: Request, owner: string, now: number): Effect[] {
  request.phase = 'backoff';
  request.linkedOwners.add(owner);
  schedule(state, now + LINK_OPEN_TIMEOUT_MS, { type: 'requestRetry', id: request.id });
  return openOnDemandLink(state, owner, now);
}

function getZone(state: State, host: string): string | undefined {
  return host === state.host.id ? state.host.zone : state.membership.hosts.get(host)?.zone;
}

/**
 * Sends the current grant request to the owner. Sending it again keeps its position in the owner's
 * queue and makes the owner resend a lost grant.
 */
export function sendGrantRequest(
  state: State,
  request: Request,
  { engine, owner }: { engine: string; owner: string },
  now: number,
): Effect[] {
  const { fingerprint } = request;
  schedule(state, now + GRANT_REQUEST_TIMEOUT_MS, {
    type: 'grantRequestTimeout',
    id: request.id,
    grantRequestNumber: request.grantRequestNumber,
  });
  return [
    sendMessage(state, owner, {
      type: 'grantAsk',
      request: request.id,
      ask: request.grantRequestNumber,
      engine,
      model: request.model,
      firm: request.firm,
      kind: request.kind,
      priority: request.priority,
      remainingMs: request.deadline - now,
      fingerprint,
      suspect: state.suspects.byAttribute.get(fingerprint),
      maxTokens: request.maxTokens,
    }),
  ];
}

/**
 * Retries after a failed attempt; fails the request when attempts or retry budget are exhausted.
 */
export function retryWithBudget(state: State, request: Request, now: number): Effect[] {
  if (request.attempts < MAX_ATTEMPTS && !state.requests.retryBudget.tryTakeRetry(now)) {
    const message = `request ${request.id} failed and the retry budget is exhausted`;
    const outcome = request.mayHaveRun ? 'unknown' : 'not_run';
    return failRequest(state, request, Failure.create('overloaded', message, { outcome }));
  }
  return retryWithoutBudget(state, request, now);
}

/** Retries after an attempt that put no load on an engine and so needs no retry budget. */
export function retryWithoutBudget(state: State, request: Request, now: number): Effect[] {
  request.attempt = undefined;
  request.pendingGrant = undefined;
  if (request.attempts >= MAX_ATTEMPTS) {
    const message = `request ${request.id} failed in all ${request.attempts} attempts`;
    const outcome = request.mayHaveRun ? 'unknown' : 'not_run';
    return failRequest(state, request, Failure.create('engine_failed', message, { outcome }));
  }
  return [
    ...requestGrantAfterBackoff(state, request, now),
    newCount('fireflywick_decisions_total', { decision: 'retried', reason: 'failed' }),
  ];
}

/** Requests a grant after a backoff with full jitter. A refusal does not count as an attempt. */
export function requestGrantAfterBackoff(state: State, request: Request, now: number): Effect[] {
  request.pendingGrant = undefined;
  request.phase = 'backoff';
  const failures = request.attempts + request.excluded.size + request.ownerChanges;
  const maxDelayMs = Math.min(GRANT_RETRY_MAX_MS, GRANT_RETRY_BASE_MS * 2 ** failures);
  const at = now + state.random.getFraction() * maxDelayMs;
  schedule(state, at, { type: 'requestRetry', id: request.id });
  return [];
}

function getUnavailableFailure(state: State, request: Request): Failure {
  const { adapter, lastRefusal, mayHaveRun } = request;
  const model = state.configuration.adapters.get(adapter)?.model;
  const pauseMs = getModelPauseMs(state, model);
  const pauseReason = pauseMs === undefined ? undefined : 'the engines want no requests for a time';
  const reason = pauseReason ?? lastRefusal ?? 'no engine is available';
  return Failure.create(
    'adapter_unavailable',
    `no engine can run adapter "${request.model}": ${reason}`,
    {
      outcome: mayHaveRun ? 'unknown' : 'not_run',
      retryAfterS: pauseMs === undefined ? undefined : Math.ceil(pauseMs / 1_000),
    },
  );
}
