import type { Effect } from '../core/effects.ts';
import { newCount } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { Failure } from '../errors/failure.ts';
import { updateOutstandingCalls } from './serviceEndpoints.ts';
import type { Action, ActionAnswer, ServiceResponse } from './types.ts';

/** Answers the caller with a failure, unless it is answered already. */
export function failAction(state: State, action: Action, failure: Failure): Effect[] {
  return answerOnce(state, action, failure.kind, { type: 'failed', failure });
}

/** Answers the caller with the response of the service, unless it is answered already. */
export function completeAction(
  state: State,
  action: Action,
  { status, headers, body }: ServiceResponse,
  isReplay = false,
): Effect[] {
  const answer: ActionAnswer = { type: 'answered', status, headers, body, isReplay };
  return answerOnce(state, action, isReplay ? 'replayed' : 'completed', answer);
}

/**
 * Cancels the call of an action whose caller has left. One with an idempotency key runs on: its caller
 * gets the answer when it repeats the call.
 */
export function cancelAction(state: State, action: Action): Effect[] {
  if (!action.isRepeatable) return [];
  updateOutstandingCalls(state, action.endpoint, -1);
  removeAction(state, action);
  const labels = { firm: action.firm, kind: 'action', result: 'cancelled' };
  return [
    newCount('fireflywick_requests_total', labels),
    { type: 'cancelServiceCall', id: action.id },
  ];
}

/** Removes an action that holds no claim or whose claim is settled. */
export function removeAction(state: State, action: Action): void {
  const { inFlight, idsByRowKey } = state.actions;
  inFlight.delete(action.id);
  if (idsByRowKey.get(action.rowKey) === action.id) idsByRowKey.delete(action.rowKey);
}

function answerOnce(_state: State, action: Action, result: string, answer: ActionAnswer): Effect[] {
  if (action.isAnswered) return [];
  action.isAnswered = true;
  return [
    newCount('fireflywick_requests_total', { firm: action.firm, kind: 'action', result }),
    { type: 'answerAction', id: action.id, answer },
  ];
}
