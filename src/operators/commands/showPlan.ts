import { getPlanKey } from '../../configuration/keys.ts';
import { Plan } from '../../configuration/plan.ts';
import type { Effect } from '../../core/effects.ts';
import type { TableAnswerHandlers } from '../../core/handlers.ts';
import type { State } from '../../core/state.ts';
import type { TableAnswer } from '../../core/store.ts';
import { Failure } from '../../errors/failure.ts';
import { answerWithResult, answerWithFailure, type CommandHandler } from '../answer.ts';
import type { OperatorRequest } from '../types.ts';

export const showPlan: CommandHandler<'showPlan'> = (_state, ask, { plan }) => [
  {
    type: 'callTable',
    call: { type: 'get', key: getPlanKey(plan) },
    purpose: { type: 'readPlan', requestId: ask.id },
  },
];

export const showPlanAnswers: TableAnswerHandlers<'readPlan'> = {
  readPlan: (state, { requestId: id }, answer) => {
    const ask = state.operators.pendingRequests.get(id);
    if (ask === undefined) return [];
    const plan = parsePlan(answer);
    return plan === undefined
      ? answerUnreadablePlan(state, ask, answer)
      : answerWithResult(state, ask, plan);
  },
};

/** Returns the plan that was read, if any. */
export function parsePlan(answer: TableAnswer): Plan | undefined {
  return answer.type === 'ok' ? Plan.safeParse(answer.rows[0]?.value).data : undefined;
}

/** Answers a question whose plan could not be read. */
export function answerUnreadablePlan(
  state: State,
  ask: OperatorRequest,
  answer: TableAnswer,
): Effect[] {
  const id = 'plan' in ask.command ? ask.command.plan : '';
  if (answer.type === 'missing') {
    return answerWithFailure(
      state,
      ask,
      Failure.create('not_found', `plan "${id}" does not exist`),
    );
  }
  const failure =
    answer.type === 'ok'
      ? Failure.create('internal', `plan "${id}" is malformed`, { outcome: 'not_run' })
      : Failure.create('store_unavailable', `plan "${id}" could not be read`);
  return answerWithFailure(state, ask, failure);
}
