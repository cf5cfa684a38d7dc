import { answerDone, type OperatorAction } from '../answer.ts';

/** Lists requests that are suspected of crashing endpoints; cleared ones are left out. */
export const listSuspects: OperatorAction<'listSuspects'> = (state, ask) =>
  answerDone(state, ask, {
    suspects: [...state.suspects.byFingerprint.values()].filter(
      ({ crashes }) => crashes.length > 0,
    ),
  });
