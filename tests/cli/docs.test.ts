import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { COMMANDS } from '../../src/cli/commands/index.ts';
import { METRICS } from '../../src/core/metricNames.ts';
import { OPERATOR_SETTINGS, SETTINGS } from '../../src/settings/definitions.ts';
import { getSettingsTable } from '../../src/settings/help.ts';

const OPERATIONS = getLines(readFileSync('docs/operations.md', 'utf8'));

/** Rows of tables without the padding that the formatter adds. */
function getLines(text: string): string[] {
  return text.split('\n').map((line) => line.replace(/\s+/g, ' ').replace(/-{3,}/g, '---').trim());
}

// Documents that tell of settings, commands or metrics that do not exist, or leave some out.
describe('docs/operations.md', () => {
  it.each([
    ['settings of entry', getLines(getSettingsTable(SETTINGS)).slice(2)],
    ['settings of commands', getLines(getSettingsTable(OPERATOR_SETTINGS)).slice(2)],
    [
      'commands',
      [...COMMANDS].map(
        ([name, { input, summary }]) => `| \`${[name, ...input].join(' ')}\` | ${summary} |`,
      ),
    ],
    [
      'metrics',
      Object.entries(METRICS).map(
        ([name, { kind, help }]) => `| \`${name}\` | ${kind} | ${help} |`,
      ),
    ],
  ])('lists all %s', (_name, rows) => {
    expect(OPERATIONS).toEqual(expect.arrayContaining(rows));
  });
});
