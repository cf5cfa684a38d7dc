import { getPlanKey } from '../../configuration/keys.ts';
import { Plan } from '../../configuration/plan.ts';
import type { Effect } from '../../core/effects.ts';
import type { TableAnswerHandlers } from '../../core/handlers.ts';
import type { State } from '../../core/state.ts';
import type { TableAnswer } from '../../core/store.ts';
import { Failure } from '../../errors/failure.ts';
import { answerDone, answerRefused, type OperatorAction } from '../answer.ts';
import type { Ask } from '../types.ts';

export const showPlan: OperatorAction<'showPlan'> = (_state, ask, { plan }) => [
  {
    type: 'callTable',
    call: { type: 'get', key: getPlanKey(plan) },
    purpose: { type: 'readPlan', ask: ask.id },
  },
];

export const showPlanAnswers: TableAnswerHandlers<'readPlan'> = {
  readPlan: (state, { ask: id }, answer) => {
    const ask = state.operators.asks.get(id);
    if (ask === undefined) return [];
    const plan = getPlan(answer);
    return plan === undefined
      ? refuseWithoutPlan(state, ask, answer)
      : answerDone(state, ask, plan);
  },
};

/** Returns the plan that was read, if any. */
export function getPlan(answer: TableAnswer): Plan | undefined {
  return answer.type === 'ok' ? Plan.safeParse(answer.rows[0]?.value).data : undefined;
}

/** Answers a question whose plan could not be read. */
export function refuseWithoutPlan(state: State, ask: Ask, answer: TableAnswer): Effect[] {
  const id = 'plan' in ask.command ? ask.command.plan : '';
  if (answer.type === 'missing') {
    return answerRefused(state, ask, Failure.create('not_found', `plan "${id}" does not exist`));
  }
  const failure =
    answer.type === 'ok'
      ? Failure.create('internal', `plan "${id}" is malformed`, { outcome: 'not_run' })
      : Failure.create('store_unavailable', `plan "${id}" could not be read`);
  return answerRefused(state, ask, failure);
}
