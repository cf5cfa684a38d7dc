import type { EffectRunners } from '../context.ts';

type DurableEffect =
  | 'callService'
  | 'answerAction'
  | 'answerDraft'
  | 'prepareDraft'
  | 'dropDraftRequest'
  | 'answerDraftRead'
  | 'answerDraftList';

export const durableRunners: EffectRunners<DurableEffect> = {
  // No route for services creates actions yet; nothing is written, so "not sent" is true.
  callService: (context, { id }) =>
    context.dispatch({ type: 'serviceAnswered', id, answer: { type: 'notSent' } }),
  answerAction: () => undefined,
  answerDraft: () => undefined,
  prepareDraft: () => undefined,
  dropDraftRequest: () => undefined,
  answerDraftRead: (context, { id, answer }) => context.answerDraftRead(id, answer),
  answerDraftList: (context, { id, answer }) => context.answerDraftList(id, answer),
};
