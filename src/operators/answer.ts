import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { Failure } from '../errors/failure.ts';
import type { OperatorRequest, OperatorCommand } from './types.ts';

/** Handler of one type of command. The answer may also be an effect of a later event. */
export type CommandHandler<T extends OperatorCommand['type']> = (
  state: State,
  request: OperatorRequest,
  command: Extract<OperatorCommand, { type: T }>,
  now: number,
) => Effect[];

/** Ends a request with a result. */
export function answerWithResult(
  state: State,
  request: OperatorRequest,
  body: unknown,
  status: 200 | 201 = 200,
): Effect[] {
  state.operators.pendingRequests.delete(request.id);
  return [{ type: 'answerOperator', id: request.id, answer: { type: 'done', status, body } }];
}

/** Ends a request with a failure; `details` are lines that explain it. */
export function answerWithFailure(
  state: State,
  request: OperatorRequest,
  failure: Failure,
  details: string[] = [],
): Effect[] {
  state.operators.pendingRequests.delete(request.id);
  return [
    { type: 'answerOperator', id: request.id, answer: { type: 'refused', failure, details } },
  ];
}
