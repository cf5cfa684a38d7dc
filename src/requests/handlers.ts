import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { EventHandlers, MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import type { State } from '../core/state.ts';
import { newObserve } from '../core/observations.ts';
import { Failure } from '../errors/failure.ts';
import { isEndpointLeaving } from '../membership/endpoints.ts';
import { isReachable, isStaleGrantEpoch, recordGrantEpoch } from '../ownership/owner.ts';
import { adjustSentSinceReport } from '../engines/views.ts';
import { isEnginePaused } from '../engines/availability.ts';
import { recordSend } from '../notices/pauses.ts';
import { admitRequest } from './admission.ts';
import { MAX_OWNER_CHANGES } from './constants.ts';
import { endRequestAttempt } from './requestAttempts.ts';
import { requestGrant, requestGrantAfterBackoff, sendGrantRequest } from './grantRequests.ts';
import { failRequest, releaseGrant } from './requestEnd.ts';
import { endCrashCheck } from './crashCheck.ts';
import type { Request, RequestEvent, RequestTimer } from './types.ts';

export const requestEvents: EventHandlers<RequestEvent['type']> = {
  requestArrived: (state, { request }, now) => admitRequest(state, request, now),
  requestCancelled: (state, { id }) => {
    const request = state.requests.inFlight.get(id);
    if (request === undefined) return [];
    const failure = Failure.create('cancelled', 'the caller closed the connection');
    return [...cancelAttempt(state, request), ...failRequest(state, request, failure)];
  },
  attemptResponseStarted: (state, { id, attempt }, now) => {
    const request = state.requests.inFlight.get(id);
    const current = request?.attempt;
    if (request === undefined || current?.id !== attempt || current.hasResponseStarted) return [];
    current.hasResponseStarted = true;
    const labels = { firm: request.firm, kind: request.kind };
    return [newObserve('fireflywick_first_token_ms', labels, now - request.arrivedAt)];
  },
  attemptEnded: (state, { id, attempt, outcome }, now) => {
    const request = state.requests.inFlight.get(id);
    if (request?.attempt?.id !== attempt) return [];
    return endRequestAttempt(state, request, request.attempt, outcome, now);
  },
};

export const requestMessages: MessageHandlers<'grantGiven' | 'grantRefused'> = {
  grantGiven: (state, message, from, now) => {
    const { request: id, ask, engine, grant, epoch, stallMs, bootId } = message;
    const request = state.requests.inFlight.get(id);
    const address = state.configuration.engines.get(engine)?.address;
    // The owner resends a grant when the grant request is repeated; this one is already in use.
    if (request?.attempt?.grant === grant) return [];
    const isCurrentRequest =
      request?.phase === 'awaitingOwner' && request.grantRequestNumber === ask;
    const isUnusable =
      isStaleGrantEpoch(state, engine, epoch) ||
      isEndpointLeaving(state, engine) ||
      isEnginePaused(state, engine);
    if (!isCurrentRequest || address === undefined || isUnusable) {
      const released = { request: id, engine, grant, bootId, result: 'unused' as const };
      const effects = [sendMessage(state, from, { type: 'grantReleased', ...released })];
      if (!isCurrentRequest) return effects;
      // The engine was removed, is leaving or wants no requests, or a new owner may evict the adapter.
      adjustSentSinceReport(state.engines, engine, -1);
      return [...effects, ...requestGrantAfterBackoff(state, request, now)];
    }
    recordGrantEpoch(state, engine, epoch);
    const acceptedGrant = { engine, owner: from, grant, epoch, stallMs, bootId, address };
    return startAttempt(state, request, acceptedGrant);
  },
  grantRefused: (state, { request: id, ask, engine, reason }, _from, now) => {
    const request = state.requests.inFlight.get(id);
    if (request?.phase !== 'awaitingOwner' || request.grantRequestNumber !== ask) return [];
    if (reason === 'notOwner') request.ownerChanges += 1;
    // Only the owner changed; the engine itself may still run the request.
    if (reason !== 'notOwner' || request.ownerChanges >= MAX_OWNER_CHANGES)
      request.excluded.add(engine);
    adjustSentSinceReport(state.engines, engine, -1);
    request.lastRefusal = reason;
    return requestGrantAfterBackoff(state, request, now);
  },
};

export const requestTimers: TimerHandlers<RequestTimer['type']> = {
  requestDeadline: (state, { id }) => {
    const request = state.requests.inFlight.get(id);
    if (request === undefined) return [];
    const hasRun = request.attempt !== undefined || request.mayHaveRun;
    const failure = Failure.create(
      'deadline_exceeded',
      `request ${id} was not answered by its deadline`,
      { outcome: hasRun ? 'unknown' : 'not_run' },
    );
    return [...cancelAttempt(state, request), ...failRequest(state, request, failure)];
  },
  requestRetry: (state, { id }, now) => {
    const request = state.requests.inFlight.get(id);
    return request?.phase === 'backoff' ? requestGrant(state, request, now) : [];
  },
  crashCheckTimeout: (state, { id, attempts }, now) => {
    const request = state.requests.inFlight.get(id);
    const isCurrent = request?.crashCheck !== undefined && request.attempts === attempts;
    return !isCurrent ? [] : endCrashCheck(state, request, now);
  },
  grantRequestTimeout: (state, { id, grantRequestNumber }, now) => {
    const request = state.requests.inFlight.get(id);
    if (request?.phase !== 'awaitingOwner' || request.grantRequestNumber !== grantRequestNumber)
      return [];
    const { pendingGrant } = request;
    // Rerouting a request that is not urgent to another engine would cost a second load.
    if (
      request.kind !== 'urgent' &&
      pendingGrant !== undefined &&
      isReachable(state, pendingGrant.owner)
    ) {
      return sendGrantRequest(state, request, pendingGrant, now);
    }
    const effects = releaseGrant(state, request);
    if (pendingGrant !== undefined) request.excluded.add(pendingGrant.engine);
    return [...effects, ...requestGrantAfterBackoff(state, request, now)];
  },
};

function startAttempt(
  state: State,
  request: Request,
  acceptedGrant: {
    engine: string;
    owner: string;
    grant: string;
    epoch: number;
    stallMs: number;
    bootId: string;
    address: string;
  },
): Effect[] {
  const { engine, owner, grant, epoch, stallMs, bootId, address } = acceptedGrant;
  request.phase = 'running';
  request.attempts += 1;
  request.loadStallMs += stallMs;
  request.attempt = {
    id: `${request.id}.${request.attempts}`,
    engine,
    owner,
    grant,
    epoch,
    bootId,
    hasResponseStarted: false,
    sentAt: state.now,
  };
  const view = state.engines.views.get(engine);
  if (view !== undefined) recordSend(view, state.now);
  return [
    {
      type: 'startAttempt',
      spec: {
        id: request.id,
        attempt: request.attempt.id,
        engine,
        address,
        model: request.model,
        priority: request.priority,
        deadline: request.deadline,
        loadStallMs: request.loadStallMs,
      },
    },
  ];
}

function cancelAttempt(state: State, request: Request): Effect[] {
  const attempt = request.attempt;
  if (attempt === undefined) return [];
  const address = state.configuration.engines.get(attempt.engine)?.address ?? '';
  return [{ type: 'cancelAttempt', id: request.id, attempt: attempt.id, address }];
}
