import { answerDone, type OperatorAction } from '../answer.ts';

/** Lists requests that are suspected of crashing endpoints. */
export const listSuspects: OperatorAction<'listSuspects'> = (state, ask) =>
  answerDone(state, ask, { suspects: [...state.suspects.byFingerprint.values()] });
