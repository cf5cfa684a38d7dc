import { getTimeLeftMs } from '../arrivals/deadline.ts';
import { Err, Ok, type Result } from '../base/result.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { getRoutingKnowledge, type RoutingKnowledge } from '../directory/routingKnowledge.ts';
import { Failure } from '../errors/failure.ts';
import { findTenant } from '../tenants/findTenant.ts';
import { chooseService, findRoute } from '../routes/match.ts';
import type { Route } from '../routes/types.ts';
import { type Attribute, getAttributes } from '../suspects/attributes.ts';
import { getQuarantine } from '../suspects/quarantine.ts';
import {
  MIN_ATTEMPT_MS,
  MIN_CALLER_IDLE_TIMEOUT_MS,
  CALLER_IDLE_TIMEOUT_GOALS,
  CALLER_IDLE_TIMEOUT_PAUSE_GOALS,
  PLACEMENT_TIMEOUT_SHARE,
} from './constants.ts';
import { getRetryBudget } from './retryBudgets.ts';
import { rejectForward } from './forwardEnd.ts';
import { rejectQuarantined } from './quarantinedForwards.ts';
import { admitToQuota } from './quotaAdmission.ts';
import { findResumptionProblem, isResumption } from './resumption.ts';
import { canEndBeforeStop, newStopRefusal } from './stopAdmission.ts';
import type { Forward, NewForward } from './types.ts';

/** Routes a request that arrived; rejects it at once when this host cannot serve it. */
export function admitForward(state: State, arrival: NewForward, now: number): Effect[] {
  const found = getAdmissibleRoute(state, arrival, now);
  if (found.err) return rejectForward(state, arrival, found.val);
  const { route } = found.val;
  const version = state.residency.versions.get(arrival.labels.adapter) ?? 0;
  const attributes = getAttributes(arrival, version);
  const service = chooseService(route, state.random.getFraction());
  const routing = getRoutingKnowledge(state, now);
  const forward = newForward(arrival, found.val, service, attributes, routing);
  getRetryBudget(state, forward.service).addRequest(now);
  const quarantine = getQuarantine(state, attributes, now);
  if (quarantine !== undefined) return rejectQuarantined(state, arrival, quarantine);
  const { adapter, model } = forward.labels;
  if (adapter !== '') state.forwards.popularity.recordRequest(adapter, 'ordinary', 0, now);
  if (model !== '')
    state.forwards.popularity.recordRequest(model.split('/')[0] ?? model, 'ordinary', 0, now);
  state.forwards.inFlight.set(forward.id, forward);
  schedule(state, forward.deadlineAt, { type: 'forwardDeadline', id: forward.id });
  const { deadlineAt, arrivedAt } = forward;
  const waitMs =
    Math.min(deadlineAt - arrivedAt, getCallerIdleTimeoutMs(route)) * PLACEMENT_TIMEOUT_SHARE;
  schedule(state, arrivedAt + waitMs, { type: 'placementTimeout', id: forward.id });
  return admitToQuota(state, forward, now);
}

/** What a request may use. */
interface Admission {
  route: Route;
  /** Undefined on a public route and in a deployment without tenants. */
  tenant: string | undefined;
}

/** Returns the route and the tenant of a request, or why the request is refused on arrival. */
function getAdmissibleRoute(
  state: State,
  arrival: NewForward,
  now: number,
): Result<Admission, Failure> {
  // A stream that starts while the host drains would be cut off when the process exits.
  if (state.phase === 'draining' || state.phase === 'stopped')
    return Err(Failure.create('shutting_down', 'this host is shutting down'));
  const routing = state.routeIndex.current;
  if (routing === undefined)
    return Err(Failure.create('not_ready', 'this host has not read a routing table yet'));
  const route = findRoute(routing, arrival.host, arrival.target);
  if (route === undefined) {
    const message = `no route matches host "${arrival.host}" and path "${arrival.target}"`;
    return Err(Failure.create('not_found', message));
  }
  const caller = findTenant(state, routing, route, arrival.labels.keyDigest, now);
  if (caller.err) return Err(caller.val);
  const deadlineAt = getDeadline(arrival, route);
  if (deadlineAt - now < MIN_ATTEMPT_MS)
    return Err(Failure.create('overloaded', 'too little time is left before the deadline'));
  if (!canEndBeforeStop(state, route, deadlineAt, now)) return Err(newStopRefusal());
  const problem = isResumption({ ...arrival, route }) ? findResumptionProblem(arrival) : undefined;
  return problem === undefined
    ? Ok({ route, tenant: caller.val })
    : Err(Failure.create('bad_request', problem));
}

/**
 * Returns the time without a response or an event after which callers close the connection, in ms;
 * Infinity for requests other than streams.
 */
export function getCallerIdleTimeoutMs({ kind, goalMs, pauseGoalMs }: Route): number {
  if (kind !== 'stream') return Infinity;
  return Math.max(
    MIN_CALLER_IDLE_TIMEOUT_MS,
    CALLER_IDLE_TIMEOUT_GOALS * goalMs,
    CALLER_IDLE_TIMEOUT_PAUSE_GOALS * pauseGoalMs,
  );
}

/** Returns monotonic ms by which the response must be complete. */
function getDeadline({ arrivedAt, readDelayMs, labels }: NewForward, route: Route): number {
  return arrivedAt + getTimeLeftMs(Math.min(route.timeoutMs, labels.waitMs), readDelayMs);
}

function newForward(
  arrival: NewForward,
  { route, tenant }: Admission,
  service: string,
  attributes: readonly Attribute[],
  routing: RoutingKnowledge,
): Forward {
  const { arrivedAt } = arrival;
  // Fields are listed one by one, since spreading `arrival` is slow.
  return {
    id: arrival.id,
    host: arrival.host,
    target: arrival.target,
    labels: arrival.labels,
    caller: arrival.caller,
    fingerprint: arrival.fingerprint,
    arrivedAt,
    readDelayMs: arrival.readDelayMs,
    route,
    routing,
    service,
    tenant,
    quotaCost: 0,
    attributes,
    isTrial: false,
    deadlineAt: getDeadline(arrival, route),
    goalAt: arrivedAt + route.goalMs,
    phase: 'backoff',
    reservationRequestNumber: 0,
    pendingReservation: undefined,
    attempt: undefined,
    sends: 0,
    ranOn: new Set(),
    excluded: new Set(),
    refusedBy: new Set(),
    mayHaveRun: false,
    hasResponseStarted: false,
    hasFailedResponse: false,
    origin: undefined,
    pathChanges: 0,
    backoffs: 0,
    returnMs: undefined,
    lastEventId: undefined,
    lastSoftwareVersion: undefined,
    bodyEnd: undefined,
    lastReason: '',
    sentAt: undefined,
    firstByteAt: undefined,
    longestPauseMs: undefined,
    stallMs: 0,
  };
}
