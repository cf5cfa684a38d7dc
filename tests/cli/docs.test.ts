import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { COMMANDS } from '../../src/cli/commands/index.ts';
import { METRICS } from '../../src/core/metricNames.ts';
import {
  GATEWAY_SETTINGS,
  OPERATOR_SETTINGS,
  ENTRY_SETTINGS,
} from '../../src/settings/definitions.ts';
import { getSettingsTable } from '../../src/settings/help.ts';

const OPERATIONS = getLines(readFileSync('docs/OPERATIONS.md', 'utf8'));

/** Returns the lines of a text without the padding that the formatter adds to tables. */
function getLines(text: string): string[] {
  return text.split('\n').map((line) => line.replace(/\s+/g, ' ').replace(/-{3,}/g, '---').trim());
}

/** Returns a pattern for the message of each `newLog` call; placeholders match any word. */
function getLogPatterns(): RegExp[] {
  const files = readdirSync('src', { recursive: true, encoding: 'utf8' });
  return files
    .filter((file) => file.endsWith('.ts'))
    .flatMap((file) => [
      ...readFileSync(join('src', file), 'utf8').matchAll(/newLog\(\s*'\w+',\s*(['`])(.*?)\1/gs),
    ])
    .map(([, , message = '']) => new RegExp(`\`${message.replace(/\$\{.*?\}/g, '\\S+')}\``));
}

// Guards against a manual that omits settings, commands, metrics or log messages, or describes them
// differently.
describe('docs/OPERATIONS.md', () => {
  it.each([
    ['settings of entry', getLines(getSettingsTable(ENTRY_SETTINGS)).slice(2)],
    ['settings of gateway', getLines(getSettingsTable(GATEWAY_SETTINGS)).slice(2)],
    ['settings of commands', getLines(getSettingsTable(OPERATOR_SETTINGS)).slice(2)],
    [
      'commands',
      [...COMMANDS].map(
        ([name, { positionals, summary }]) =>
          `| \`${[name, ...positionals].join(' ')}\` | ${summary} |`,
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

  it('explains each log message', () => {
    const patterns = getLogPatterns();
    const unknown = patterns.filter((pattern) => !OPERATIONS.some((line) => pattern.test(line)));
    expect(patterns.length).toBeGreaterThan(10);
    expect(unknown).toEqual([]);
  });
});
