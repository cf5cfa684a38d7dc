import { getPlanKey } from '../../configuration/keys.ts';
import { Plan } from '../../configuration/plan.ts';
import type { Effect } from '../../core/effects.ts';
import type { TableAnswerHandlers } from '../../core/handlers.ts';
import type { State } from '../../core/state.ts';
import { getFailureReason, type TableAnswer } from '../../core/store.ts';
import { Failure } from '../../errors/failure.ts';
import { answerWithResult, answerWithFailure, type CommandHandler } from '../answer.ts';
import type { OperatorRequest } from '../types.ts';

/** Reads a stored plan. */
export const showPlan: CommandHandler<'showPlan'> = (_state, request, { plan }) => [
  {
    type: 'callTable',
    call: { type: 'get', key: getPlanKey(plan) },
    purpose: { type: 'readPlan', requestId: request.id },
  },
];

/** Handler of the answer to the read of a plan. */
export const showPlanAnswers: TableAnswerHandlers<'readPlan'> = {
  readPlan: (state, { requestId }, answer) => {
    const request = state.operators.pendingRequests.get(requestId);
    if (request === undefined) return [];
    const plan = parsePlan(answer);
    return plan === undefined
      ? answerUnreadablePlan(state, request, answer)
      : answerWithResult(state, request, plan);
  },
};

/** Returns the plan in an answer of the table service; undefined if there is no valid one. */
export function parsePlan(answer: TableAnswer): Plan | undefined {
  return answer.type === 'ok' ? Plan.safeParse(answer.rows[0]?.value).data : undefined;
}

/** Answers a request whose plan is missing, malformed or unreadable. */
export function answerUnreadablePlan(
  state: State,
  request: OperatorRequest,
  answer: TableAnswer,
): Effect[] {
  const id = 'plan' in request.command ? request.command.plan : '';
  if (answer.type === 'missing') {
    return answerWithFailure(
      state,
      request,
      Failure.create('not_found', `plan "${id}" does not exist`),
    );
  }
  const failure =
    answer.type === 'ok'
      ? Failure.create('internal', `plan "${id}" is malformed`, { outcome: 'not_run' })
      : Failure.create(
          'store_unavailable',
          `plan "${id}" could not be read: ${getFailureReason(answer)}`,
        );
  return answerWithFailure(state, request, failure);
}
