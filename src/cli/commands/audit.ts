import { z } from 'zod';
import { AuditEntry } from '../../operators/types.ts';
import { indentLines, formatUtcTime } from '../format.ts';
import { newOperatorCommand } from '../operatorCommand.ts';

const AuditAnswer = z.looseObject({
  entries: z.array(AuditEntry.loose()),
  next: z.string().optional(),
});

export const audit = newOperatorCommand({
  summary: 'Show what operators changed, oldest first; without --after the newest entries.',
  flags: [
    { name: 'after', help: 'Id of the entry after which to start.' },
    { name: 'limit', help: 'Number of entries, 1 to 200; 50 when absent.' },
  ],
  schema: AuditAnswer,
  getCall: ({ flags }) => {
    const query = new URLSearchParams();
    for (const name of ['after', 'limit']) {
      const value = flags.values.get(name);
      if (value !== undefined) query.set(name, value);
    }
    return { method: 'GET', path: `/v1/audit?${query.toString()}` };
  },
  formatAnswer: ({ entries, next }) => {
    const lines = entries.flatMap((entry) => [
      `${formatUtcTime(entry.atUnixMs)} revision ${entry.revision} by ${entry.operator}: ${[entry.action, entry.plan ?? ''].join(' ').trimEnd()}`,
      indentLines(entry.lines),
    ]);
    return [...lines, next === undefined ? 'No entries.' : `Next: --after ${next}`].join('\n');
  },
});
