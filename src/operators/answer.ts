import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { Failure } from '../errors/failure.ts';
import type { OperatorRequest, OperatorCommand } from './types.ts';

/** Handles one type of command; the answer may come later. */
export type CommandHandler<T extends OperatorCommand['type']> = (
  state: State,
  ask: OperatorRequest,
  command: Extract<OperatorCommand, { type: T }>,
  now: number,
) => Effect[];

/** Answers a question with a result. */
export function answerWithResult(
  state: State,
  ask: OperatorRequest,
  body: unknown,
  status: 200 | 201 = 200,
): Effect[] {
  state.operators.pendingRequests.delete(ask.id);
  return [{ type: 'answerOperator', id: ask.id, answer: { type: 'done', status, body } }];
}

/** Answers a question with a failure and lines that explain it. */
export function answerWithFailure(
  state: State,
  ask: OperatorRequest,
  failure: Failure,
  details: string[] = [],
): Effect[] {
  state.operators.pendingRequests.delete(ask.id);
  return [{ type: 'answerOperator', id: ask.id, answer: { type: 'refused', failure, details } }];
}
