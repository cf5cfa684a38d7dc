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

/** Sends the call to the best endpoint; ends the action when there is none. */
export function sendServiceCall(state: State, action: Action, now: number): Effect[] {
  if (action.deadline <= now) {
    const message = 'the deadline passed before the call was sent';
    return endUnsent(state, action, Failure.create('deadline_passed', message), now);
  }
  const service = state.configuration.services.get(action.service);
  const endpoint = service && chooseServiceEndpoint(state, service, action.triedEndpoints, now);
  if (endpoint === undefined) {
    const message = `no endpoint of service "${action.service}" can be reached`;
    return endUnsent(state, action, Failure.create('service_unavailable', message), now);
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

/** Continues after the end of a call. */
export function handleServiceCallEnd(
  state: State,
  action: Action,
  answer: ServiceCallOutcome,
  now: number,
): Effect[] {
  updateOutstandingCalls(state, action.endpoint, -1);
  switch (answer.type) {
    case 'notSent':
      startEndpointBackoff(state, action.endpoint, now);
      // Nothing was written, so another endpoint may take the call under the same claim.
      return sendServiceCall(state, action, now);
    case 'answered':
      action.mayHaveRun = true;
      if (!action.isRepeatable) return settleClaim(state, action, { state: 'done', answer }, now);
      removeAction(state, action);
      return completeAction(state, action, answer);
    case 'lost':
      action.mayHaveRun = true;
      return action.isRepeatable
        ? repeatCall(state, action, answer.reason, now)
        : loseCall(state, action, answer.reason, now);
  }
}

function loseCall(state: State, action: Action, reason: string, now: number): Effect[] {
  const message = `the answer of service "${action.service}" was lost: ${reason}`;
  const failure = Failure.create('outcome_unknown', message);
  return [
    ...failAction(state, action, failure),
    ...settleClaim(state, action, { state: 'unknown' }, now),
  ];
}

function repeatCall(state: State, action: Action, reason: string, now: number): Effect[] {
  if (!action.isAnswered && action.callAttempts < MAX_CALL_ATTEMPTS && action.deadline > now) {
    if (state.requests.retryBudget.tryTakeRetry(now)) return sendServiceCall(state, action, now);
    const message = `the answer was lost (${reason}) and the retry budget is used up`;
    const failure = Failure.create('overloaded', message);
    return endUnsent(state, action, failure, now);
  }
  removeAction(state, action);
  const message = `the answer of service "${action.service}" was lost: ${reason}`;
  return failAction(state, action, Failure.create('outcome_unknown', message));
}

/** Ends an action that has no call in progress; releases its claim. */
function endUnsent(state: State, action: Action, failure: Failure, now: number): Effect[] {
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
