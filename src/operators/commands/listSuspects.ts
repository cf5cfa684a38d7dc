import { isQuarantined } from '../../suspects/quarantine.ts';
import { answerWithResult, type CommandHandler } from '../answer.ts';

/** Lists suspects: attributes of requests that may crash engines. Cleared ones are left out. */
export const listSuspects: CommandHandler<'listSuspects'> = (state, request) => {
  const { byAttribute, active } = state.suspects;
  const suspects = [...byAttribute.values()]
    .filter(({ attribute }) => active.has(attribute))
    .map((suspect) => ({
      ...suspect,
      isQuarantined: isQuarantined(state, suspect.attribute, state.now),
    }));
  return answerWithResult(state, request, { suspects });
};
