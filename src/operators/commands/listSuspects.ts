import { answerWithResult, type CommandHandler } from '../answer.ts';

/** Lists requests that are suspected of crashing endpoints; cleared ones are left out. */
export const listSuspects: CommandHandler<'listSuspects'> = (state, ask) =>
  answerWithResult(state, ask, {
    suspects: [...state.suspects.byFingerprint.values()].filter(
      ({ crashes }) => crashes.length > 0,
    ),
  });
