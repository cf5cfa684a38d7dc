import { sha256 } from '../../base/hash.ts';
import { getPlanKey } from '../../configuration/keys.ts';
import { newPlan } from '../../configuration/plan.ts';
import type { TableAnswerHandlers } from '../../core/handlers.ts';
import { Failure } from '../../errors/failure.ts';
import { answerDone, answerRefused, type OperatorAction } from '../answer.ts';

const PLAN_ID_DIGITS = 16;

/** Stores a plan, so that it can be confirmed on any host. Nothing changes yet. */
export const makePlan: OperatorAction<'makePlan'> = (state, ask, { intent }) => {
  const { id, incarnation } = state.host;
  const seed = [id, incarnation, ask.id, state.random.getHex(8)].join('/');
  const result = newPlan(state.configuration, intent, {
    id: sha256(seed).slice(0, PLAN_ID_DIGITS),
    operator: ask.operator,
    plannedAtUnixMs: ask.atUnixMs,
  });
  if (result.err) {
    const failure = Failure.create(
      'invalid_intent',
      'the intent leads to an invalid configuration',
    );
    return answerRefused(state, ask, failure, result.val);
  }
  const plan = result.val;
  const key = getPlanKey(plan.id);
  return [
    {
      type: 'callTable',
      call: {
        type: 'write',
        writes: [{ type: 'put', key, value: plan, condition: { type: 'absent' } }],
      },
      purpose: { type: 'writePlan', ask: ask.id, plan },
    },
  ];
};

export const makePlanAnswers: TableAnswerHandlers<'writePlan'> = {
  writePlan: (state, { ask: id, plan }, answer) => {
    const ask = state.operators.asks.get(id);
    if (ask === undefined) return [];
    if (answer.type === 'ok') return answerDone(state, ask, plan, 201);
    const message = 'the plan could not be stored; nothing was changed, submit the intent again';
    return answerRefused(state, ask, Failure.create('store_unavailable', message));
  },
};
