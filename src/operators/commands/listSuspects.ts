import { answerWithResult, type CommandHandler } from '../answer.ts';

/** Lists suspects: fingerprints of requests that may crash engines. Cleared ones are left out. */
export const listSuspects: CommandHandler<'listSuspects'> = (state, request) =>
  answerWithResult(state, request, {
    suspects: [...state.suspects.byAttribute.values()].filter(({ crashes }) => crashes.length > 0),
  });
