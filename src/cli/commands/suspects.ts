import { z } from 'zod';
import { getIndented } from '../format.ts';
import { newQueryCommand } from '../operatorCommand.ts';

const SuspectsAnswer = z.looseObject({
  suspects: z.array(z.looseObject({ fingerprint: z.string() })),
});

export const suspects = newQueryCommand({
  summary: 'List requests that are suspected of crashing endpoints.',
  schema: SuspectsAnswer,
  getCall: () => ({ method: 'GET', path: '/v1/suspects' }),
  getText: (answer) =>
    answer.suspects.length === 0
      ? 'No suspects.'
      : answer.suspects
          .map(
            ({ fingerprint, ...rest }) => `${fingerprint}\n${getIndented([JSON.stringify(rest)])}`,
          )
          .join('\n'),
});
