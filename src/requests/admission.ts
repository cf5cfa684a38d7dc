import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { Failure } from '../errors/failure.ts';
import { getFingerprint } from '../suspects/fingerprint.ts';
import { getCallerKey, deliverFailure } from './requestEnd.ts';
import { requestGrant } from './grantRequests.ts';
import { resolveVersion } from './adapterVersion.ts';
import { DEFAULT_PRIORITY } from './constants.ts';
import { getOverloadFailure } from './loadShedding.ts';
import type { NewRequest, Request } from './types.ts';

/** Admits an arriving request and requests a grant, or fails it when a limit is reached. */
export function admitRequest(state: State, arrival: NewRequest, now: number): Effect[] {
  state.requests.retryBudget.addRequest(now);
  const failure = getAdmissionFailure(state, arrival, now);
  if (failure !== undefined) return rejectRequest(state, arrival, failure, now);
  const version = resolveVersion(state, arrival);
  if (version instanceof Failure) return rejectRequest(state, arrival, version, now);
  const request = newRequest(state, arrival, version, now);
  state.requests.inFlight.set(request.id, request);
  const firmRequests = state.requests.countByFirm.get(request.firm) ?? 0;
  state.requests.countByFirm.set(request.firm, firmRequests + 1);
  if (request.draft === undefined) {
    const key = getCallerKey(request);
    state.requests.countByCaller.set(key, (state.requests.countByCaller.get(key) ?? 0) + 1);
  }
  schedule(state, request.deadline, { type: 'requestDeadline', id: request.id });
  return requestGrant(state, request, now);
}

function getAdmissionFailure(state: State, arrival: NewRequest, now: number): Failure | undefined {
  const { requests, policy, configuration } = state;
  if (state.phase === 'draining' || state.phase === 'stopped')
    return Failure.create('shutting_down', 'this host is shutting down');
  if (configuration.revision === 0) {
    return Failure.create('not_ready', 'this host has no configuration yet');
  }
  if (arrival.deadline <= now) {
    return Failure.create('deadline_passed', 'the deadline had passed when the request arrived');
  }
  const overload = getOverloadFailure(state, arrival);
  if (overload !== undefined) return overload;
  const running = requests.countByCaller.get(getCallerKey(arrival)) ?? 0;
  // Drafts have their own limit and do not count towards the caller's concurrent requests.
  if (arrival.draft === undefined && running >= policy.maxRequestsPerCaller) {
    return Failure.create(
      'too_many_requests',
      `caller "${arrival.caller}" has ${running} requests in flight, at most ${policy.maxRequestsPerCaller} are allowed`,
    );
  }
  return undefined;
}

function newRequest(state: State, arrival: NewRequest, version: string, now: number): Request {
  // Fields are listed one by one: spreading `arrival` took 5% of a request's processing time.
  return {
    id: arrival.id,
    firm: arrival.firm,
    caller: arrival.caller,
    kind: arrival.kind,
    adapter: arrival.adapter,
    deadline: arrival.deadline,
    maxTokens: arrival.maxTokens,
    draft: arrival.draft,
    version,
    fingerprint: getFingerprint(`${arrival.adapter}@${version}`, arrival.fingerprint),
    model: `${arrival.adapter}@${version}`,
    priority: state.configuration.callerPriorities.get(arrival.caller) ?? DEFAULT_PRIORITY,
    arrivedAt: now,
    phase: 'backoff',
    grantRequestNumber: 0,
    pendingGrant: undefined,
    attempt: undefined,
    attempts: 0,
    crashCheck: undefined,
    excluded: new Set(),
    ownerChanges: 0,
    linkedOwners: new Set(),
    loadStallMs: 0,
    hasRequestedSuspectRow: false,
    mayHaveRun: false,
    lastRefusal: undefined,
  };
}

function rejectRequest(state: State, arrival: NewRequest, failure: Failure, now: number): Effect[] {
  return [
    {
      type: 'count',
      metric: 'fireflywick_requests_total',
      labels: { firm: arrival.firm, kind: arrival.kind, result: failure.kind },
      by: 1,
    },
    ...deliverFailure(state, arrival, failure, now),
  ];
}
