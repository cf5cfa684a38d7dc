import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import { failAction, completeAction, removeAction } from './actionEnd.ts';
import { MAX_CALL_ATTEMPTS } from './constants.ts';
import {
  updateOutstandingCalls,
  startEndpointBackoff,
  chooseServiceEndpoint,
} from './serviceEndpoints.ts';
import { settleClaim } from './settlement.ts';
import type { Action, ServiceCallOutcome } from './types.ts';

/** Sends the call to the best endpoint; fails the action if there is none. */
export function sendServiceCall(state: State, action: Action, now: number): Effect[] {
  if (action.deadline <= now) {
    const message = 'the deadline passed before the call was sent';
    return failAndReleaseAction(state, action, Failure.create('deadline_passed', message), now);
  }
  const service = state.configuration.services.get(action.service);
  const endpoint = service && chooseServiceEndpoint(state, service, action.triedEndpoints, now);
  if (endpoint === undefined) {
    const message = `no endpoint of service "${action.service}" can be reached`;
    return failAndReleaseAction(state, action, Failure.create('service_unavailable', message), now);
  }
  action.phase = 'sending';
  action.endpoint = endpoint.id;
  action.callAttempts += 1;
  action.triedEndpoints.add(endpoint.id);
  updateOutstandingCalls(state, endpoint.id, 1);
  return [
    {
      type: 'callService',
      id: action.id,
      endpoint: endpoint.id,
      address: endpoint.address,
      isRepeatable: action.isRepeatable,
      deadline: action.deadline,
    },
  ];
}

/** Settles, answers or retries an action after its call ended. */
export function handleServiceCallEnd(
  state: State,
  action: Action,
  outcome: ServiceCallOutcome,
  now: number,
): Effect[] {
  updateOutstandingCalls(state, action.endpoint, -1);
  switch (outcome.type) {
    case 'notSent':
      startEndpointBackoff(state, action.endpoint, now);
      // No byte was sent, so the same claim allows a call to another endpoint.
      return sendServiceCall(state, action, now);
    case 'answered':
      action.mayHaveRun = true;
      if (!action.isRepeatable)
        return settleClaim(state, action, { state: 'done', answer: outcome }, now);
      removeAction(state, action);
      return completeAction(state, action, outcome);
    case 'lost':
      action.mayHaveRun = true;
      return action.isRepeatable
        ? retryLostCall(state, action, outcome.reason, now)
        : failLostCall(state, action, outcome.reason, now);
  }
}

function failLostCall(state: State, action: Action, reason: string, now: number): Effect[] {
  const message = `the response of service "${action.service}" was lost: ${reason}`;
  const failure = Failure.create('outcome_unknown', message);
  return [
    ...failAction(state, action, failure),
    ...settleClaim(state, action, { state: 'unknown' }, now),
  ];
}

function retryLostCall(state: State, action: Action, reason: string, now: number): Effect[] {
  if (!action.isAnswered && action.callAttempts < MAX_CALL_ATTEMPTS && action.deadline > now) {
    if (state.requests.retryBudget.tryTakeRetry(now)) return sendServiceCall(state, action, now);
    const message = `the response was lost (${reason}) and the retry budget is exhausted`;
    const failure = Failure.create('overloaded', message);
    return failAndReleaseAction(state, action, failure, now);
  }
  removeAction(state, action);
  const message = `the response of service "${action.service}" was lost: ${reason}`;
  return failAction(state, action, Failure.create('outcome_unknown', message));
}

/** Fails an action without a call in flight, and releases its claim. */
function failAndReleaseAction(
  state: State,
  action: Action,
  failure: Failure,
  now: number,
): Effect[] {
  const { kind, message } = failure;
  const effects = failAction(
    state,
    action,
    Failure.create(kind, message, { outcome: action.mayHaveRun ? 'unknown' : 'not_run' }),
  );
  if (!action.isRepeatable)
    return [...effects, ...settleClaim(state, action, { state: 'released' }, now)];
  removeAction(state, action);
  return effects;
}
