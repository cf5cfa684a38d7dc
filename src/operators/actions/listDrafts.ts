import { scanDraftList as scanDrafts } from '../../drafts/draftCommands.ts';
import type { OperatorAction } from '../answer.ts';

/** Lists drafts by state; the answer comes as `answerDraftList` with the id of the question. */
export const listDrafts: OperatorAction<'listDrafts'> = (state, ask, { state: wanted, after }) => {
  state.operators.asks.delete(ask.id);
  return scanDrafts(ask.id, wanted, after);
};
