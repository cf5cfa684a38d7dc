import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { Failure } from '../errors/failure.ts';
import { failAction } from './actionEnd.ts';
import { writeClaim } from './claims.ts';
import { MAX_KEY_LENGTH } from './constants.ts';
import { chooseServiceEndpoint, isRepeatableCall } from './serviceEndpoints.ts';
import { getCallHash, getActionKey } from './actionRows.ts';
import { sendServiceCall } from './serviceCalls.ts';
import type { Action, NewAction } from './types.ts';

const PRINTABLE_ASCII = /^[\x20-\x7e]+$/;

/**
 * Validates a new service call; sends it if it is repeatable, and claims its idempotency key
 * otherwise.
 */
export function admitAction(state: State, arrival: NewAction, now: number): Effect[] {
  state.requests.retryBudget.addRequest(now);
  const action = newAction(state, arrival);
  const failure = getAdmissionFailure(state, action, now);
  if (failure !== undefined) return failAction(state, action, failure);
  state.actions.inFlight.set(action.id, action);
  schedule(state, action.deadline, { type: 'actionDeadline', id: action.id });
  if (action.isRepeatable) return sendServiceCall(state, action, now);
  state.actions.idsByRowKey.set(action.rowKey, action.id);
  return writeClaim(state, action);
}

function newAction(state: State, arrival: NewAction): Action {
  const service = state.configuration.services.get(arrival.service);
  const { id, incarnation } = state.host;
  return {
    ...arrival,
    phase: 'claiming',
    isRepeatable: service !== undefined && isRepeatableCall(service, arrival),
    rowKey: getActionKey(arrival),
    // Host, incarnation and id make the token unique even if two hosts have the same random seed.
    claimToken: `${id}.${incarnation}.${arrival.id}.${state.random.getHex(8)}`,
    callHash: getCallHash(arrival),
    rowVersion: undefined,
    claimAttempts: 0,
    mayHoldClaim: false,
    hasCompetingClaim: false,
    endpoint: '',
    callAttempts: 0,
    triedEndpoints: new Set(),
    mayHaveRun: false,
    isAnswered: false,
    settlement: undefined,
  };
}

function getAdmissionFailure(state: State, action: Action, now: number): Failure | undefined {
  const { phase, policy, configuration, actions } = state;
  if (phase === 'draining' || phase === 'stopped') {
    return Failure.create('shutting_down', 'this host is shutting down');
  }
  if (configuration.revision === 0) {
    return Failure.create('not_ready', 'this host has no configuration yet');
  }
  const service = configuration.services.get(action.service);
  if (service === undefined) {
    return Failure.create('unknown_service', `service "${action.service}" does not exist`);
  }
  if (action.deadline <= now) {
    return Failure.create('deadline_passed', 'the deadline had passed when the call arrived');
  }
  if (!action.isRepeatable) {
    const keyFailure = getKeyFailure(state, action);
    if (keyFailure !== undefined) return keyFailure;
  }
  if (actions.inFlight.size >= policy.maxRequests) {
    const count = actions.inFlight.size;
    return Failure.create(
      'overloaded',
      `this host has ${count} service calls in flight, at most ${policy.maxRequests} are allowed`,
    );
  }
  if (chooseServiceEndpoint(state, service, action.triedEndpoints, now) === undefined) {
    const message = `service "${action.service}" has no endpoint that accepts calls`;
    return Failure.create('service_unavailable', message);
  }
  return undefined;
}

function getKeyFailure(state: State, action: Action): Failure | undefined {
  const { idempotencyKey, rowKey, callHash } = action;
  if (idempotencyKey === undefined || idempotencyKey === '') {
    const message = 'a call that is not repeatable requires header Idempotency-Key';
    return Failure.create('key_missing', message, { param: 'Idempotency-Key' });
  }
  if (idempotencyKey.length > MAX_KEY_LENGTH || !PRINTABLE_ASCII.test(idempotencyKey)) {
    const message = `header Idempotency-Key must be 1 to ${MAX_KEY_LENGTH} printable ASCII characters`;
    return Failure.create('bad_request', message, { param: 'Idempotency-Key' });
  }
  // While the table is unavailable, a repeat of a call that runs on this host would otherwise be
  // answered with the outcome "not_run".
  const competing = state.actions.inFlight.get(state.actions.idsByRowKey.get(rowKey) ?? '');
  if (competing === undefined) return undefined;
  if (competing.callHash !== callHash) {
    return Failure.create('key_reused', `key "${idempotencyKey}" was used for a different call`);
  }
  return Failure.create('in_progress', `the call with key "${idempotencyKey}" is in progress`);
}
