import { z } from 'zod';
import { newOperatorCommand } from '../operatorCommand.ts';

const SECTIONS = [
  'adapters',
  'engines',
  'services',
  'warm',
  'callers',
  'shares',
  'leaving',
  'roles',
] as const;

const ConfigurationAnswer = z.looseObject({ revision: z.int() });

export const configuration = newOperatorCommand({
  summary: 'Show the configuration in force.',
  schema: ConfigurationAnswer,
  getCall: () => ({ method: 'GET', path: '/v1/configuration' }),
  formatAnswer: (answer) =>
    [
      `revision ${answer.revision}`,
      ...SECTIONS.flatMap((section) => {
        const entries = answer[section];
        if (!Array.isArray(entries) || entries.length === 0) return [];
        return [`${section}:`, ...entries.map((entry) => `  ${JSON.stringify(entry)}`)];
      }),
    ].join('\n'),
});
