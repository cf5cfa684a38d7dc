import {
  GATEWAY_SETTINGS,
  OPERATOR_SETTINGS,
  ENTRY_SETTINGS,
  type SettingDefinition,
} from '../settings/definitions.ts';
import { getSettingsHelp } from '../settings/help.ts';
import { COMMANDS } from './commands/index.ts';
import { indentLines, formatTable } from './format.ts';
import type { Command, Flag } from './types.ts';

const COMMAND_SETTINGS: Record<Command['settings'], readonly SettingDefinition[]> = {
  entry: ENTRY_SETTINGS,
  gateway: GATEWAY_SETTINGS,
  operator: OPERATOR_SETTINGS,
};

/** Returns the definitions of the settings that a command reads. */
export function getCommandSettings(command: Command): readonly SettingDefinition[] {
  return COMMAND_SETTINGS[command.settings];
}

/** Returns the text of `fireflywick --help`. */
export function getHelp(): string {
  const rows = [...COMMANDS].map(([name, { positionals, summary }]) => [
    `  ${[name, ...positionals].join(' ')}`,
    summary,
  ]);
  return [
    'Usage: fireflywick COMMAND [FLAGS]',
    '',
    formatTable(['Commands:', ''], rows),
    '',
    'fireflywick COMMAND --help shows the flags of a command; --version shows the version.',
    'Exit codes: 0 done, 1 refused or failed, 2 wrong usage.',
  ].join('\n');
}

/** Returns the text of `fireflywick NAME --help`. */
export function getCommandHelp(name: string, command: Command): string {
  const flags = [...command.flags, ...command.switches];
  return [
    `Usage: ${['fireflywick', name, ...command.positionals].join(' ')} [FLAGS]`,
    '',
    command.summary,
    '',
    ...(flags.length === 0 ? [] : ['Flags:', getFlagsHelp(flags), '']),
    'Settings (flag before environment before default):',
    getSettingsHelp(getCommandSettings(command)),
  ].join('\n');
}

function getFlagsHelp(flags: readonly Flag[]): string {
  return indentLines(flags.map(({ name, help }) => `--${name}\n      ${help}`));
}
