import {
  GATEWAY_SETTINGS,
  OPERATOR_SETTINGS,
  SETTINGS,
  type SettingDefinition,
} from '../settings/definitions.ts';
import { getSettingsHelp } from '../settings/help.ts';
import { COMMANDS } from './commands/index.ts';
import { getIndented, getTable } from './format.ts';
import type { Command, Flag } from './types.ts';

const SETTINGS_OF: Record<Command['settings'], readonly SettingDefinition[]> = {
  entry: SETTINGS,
  gateway: GATEWAY_SETTINGS,
  operator: OPERATOR_SETTINGS,
};

/** Returns the settings that a command reads. */
export function getSettings(command: Command): readonly SettingDefinition[] {
  return SETTINGS_OF[command.settings];
}

/** Returns the text of `fireflywick --help`. */
export function getHelp(): string {
  const rows = [...COMMANDS].map(([name, { input, summary }]) => [
    `  ${[name, ...input].join(' ')}`,
    summary,
  ]);
  return [
    'Usage: fireflywick COMMAND [FLAGS]',
    '',
    getTable(['Commands:', ''], rows),
    '',
    'fireflywick COMMAND --help shows the flags of a command; --version shows the version.',
    'Exit codes: 0 done, 1 refused or failed, 2 wrong usage.',
  ].join('\n');
}

/** Returns the text of `fireflywick NAME --help`. */
export function getCommandHelp(name: string, command: Command): string {
  const flags = [...command.flags, ...command.switches];
  return [
    `Usage: ${['fireflywick', name, ...command.input].join(' ')} [FLAGS]`,
    '',
    command.summary,
    '',
    ...(flags.length === 0 ? [] : ['Flags:', getFlagsHelp(flags), '']),
    'Settings (flag before environment before default):',
    getSettingsHelp(getSettings(command)),
  ].join('\n');
}

function getFlagsHelp(flags: readonly Flag[]): string {
  return getIndented(flags.map(({ name, help }) => `--${name}\n      ${help}`));
}
