import { sha256 } from '../../base/hash.ts';
import { getPlanKey } from '../../configuration/keys.ts';
import { newPlan } from '../../configuration/plan.ts';
import type { TableAnswerHandlers } from '../../core/handlers.ts';
import { Failure } from '../../errors/failure.ts';
import { answerWithResult, answerWithFailure, type CommandHandler } from '../answer.ts';

const PLAN_ID_DIGITS = 16;

/** Stores a plan, so that it can be confirmed on any host. Nothing changes yet. */
export const makePlan: CommandHandler<'makePlan'> = (state, ask, { intent }) => {
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
    return answerWithFailure(state, ask, failure, result.val);
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
      purpose: { type: 'writePlan', requestId: ask.id, plan },
    },
  ];
};

export const makePlanAnswers: TableAnswerHandlers<'writePlan'> = {
  writePlan: (state, { requestId: id, plan }, answer) => {
    const ask = state.operators.pendingRequests.get(id);
    if (ask === undefined) return [];
    if (answer.type === 'ok') return answerWithResult(state, ask, plan, 201);
    const message = 'the plan could not be stored; nothing was changed, submit the intent again';
    return answerWithFailure(state, ask, Failure.create('store_unavailable', message));
  },
};
