import { sha256 } from '../../base/hash.ts';
import { getPlanKey } from '../../configuration/keys.ts';
import { newPlan } from '../../configuration/plan.ts';
import type { TableAnswerHandlers } from '../../core/handlers.ts';
import { getFailureReason } from '../../core/store.ts';
import { Failure } from '../../errors/failure.ts';
import { answerWithResult, answerWithFailure, type CommandHandler } from '../answer.ts';

const PLAN_ID_DIGITS = 16;

/** Stores a plan, so that any host can confirm it. Does not change the configuration. */
export const makePlan: CommandHandler<'makePlan'> = (state, request, { intent }) => {
  const { id, incarnation } = state.host;
  const idSource = [id, incarnation, request.id, state.random.getHex(8)].join('/');
  const result = newPlan(state.configuration, intent, {
    id: sha256(idSource).slice(0, PLAN_ID_DIGITS),
    operator: request.operator,
    plannedAtUnixMs: request.atUnixMs,
  });
  if (result.err) {
    const failure = Failure.create(
      'invalid_intent',
      'the intent leads to an invalid configuration',
    );
    return answerWithFailure(state, request, failure, result.val);
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
      purpose: { type: 'writePlan', requestId: request.id, plan },
    },
  ];
};

/** Handler of the answer to the write of a plan. */
export const makePlanAnswers: TableAnswerHandlers<'writePlan'> = {
  writePlan: (state, { requestId, plan }, answer) => {
    const request = state.operators.pendingRequests.get(requestId);
    if (request === undefined) return [];
    if (answer.type === 'ok') return answerWithResult(state, request, plan, 201);
    const message = `the plan could not be stored (${getFailureReason(answer)}) and the configuration is unchanged; submit the intent again`;
    return answerWithFailure(state, request, Failure.create('store_unavailable', message));
  },
};
