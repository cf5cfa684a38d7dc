import { scanDraftList } from '../../drafts/draftCommands.ts';
import type { CommandHandler } from '../answer.ts';

/** Lists drafts by state. The answer is the effect `answerDraftList` with the id of the request. */
export const listDrafts: CommandHandler<'listDrafts'> = (
  state,
  request,
  { state: draftState, after },
) => {
  state.operators.pendingRequests.delete(request.id);
  return scanDraftList(request.id, draftState, after);
};
