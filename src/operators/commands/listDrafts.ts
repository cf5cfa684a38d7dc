import { scanDraftList as scanDrafts } from '../../drafts/draftCommands.ts';
import type { CommandHandler } from '../answer.ts';

/** Lists drafts by state; the answer comes as `answerDraftList` with the id of the question. */
export const listDrafts: CommandHandler<'listDrafts'> = (state, ask, { state: wanted, after }) => {
  state.operators.pendingRequests.delete(ask.id);
  return scanDrafts(ask.id, wanted, after);
};
