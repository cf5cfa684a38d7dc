import { z } from 'zod';
import { formatTable } from '../format.ts';
import { newOperatorCommand } from '../operatorCommand.ts';

const SuspectsAnswer = z.looseObject({
  attribute: z.string().optional(),
  suspects: z
    .array(
      z.looseObject({
        attribute: z.string(),
        crashes: z.array(z.string()),
        isQuarantined: z.boolean(),
      }),
    )
    .default([]),
});

export const suspects = newOperatorCommand({
  summary: 'List what is suspected of crashing endpoints, or clear one.',
  flags: [{ name: 'clear', help: 'Attribute of a suspect; requests with it may run again.' }],
  schema: SuspectsAnswer,
  getCall: ({ flags }) => {
    const clear = flags.values.get('clear');
    return clear === undefined
      ? { method: 'GET', path: '/v1/suspects' }
      : { method: 'DELETE', path: `/v1/suspects/${encodeURIComponent(clear)}` };
  },
  formatAnswer: ({ attribute, suspects }) => {
    if (attribute !== undefined) return `The suspect ${attribute} is cleared.`;
    if (suspects.length === 0) return 'No suspects.';
    const rows = suspects.map((suspect) => [
      suspect.attribute,
      suspect.isQuarantined ? 'quarantined' : 'suspect',
      suspect.crashes.join(', '),
    ]);
    return formatTable(['ATTRIBUTE', 'STATE', 'CRASHES'], rows);
  },
});
