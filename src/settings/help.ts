import type { SettingDefinition } from './definitions.ts';
import { getEnvironmentVariable } from './types.ts';

/** Returns the settings as text for `--help`. */
export function getSettingsHelp(definitions: readonly SettingDefinition[]): string {
  return definitions
    .map((definition) => {
      const defaultText = getDefaultText(definition);
      return [
        `  --${definition.name} (${getEnvironmentVariable(definition.name)})`,
        `      ${definition.help} Allowed: ${definition.allowed}. ${defaultText}.`,
      ].join('\n');
    })
    .join('\n');
}

/** Returns the settings as a Markdown table. */
export function getSettingsTable(definitions: readonly SettingDefinition[]): string {
  const rows = definitions.map(
    (definition) =>
      `| \`--${definition.name}\` | \`${getEnvironmentVariable(definition.name)}\` | ${definition.help} | ${definition.allowed} | ${getDefaultText(definition)} |`,
  );
  return [
    '| flag | environment | meaning | allowed | default |',
    '|---|---|---|---|---|',
    ...rows,
  ].join('\n');
}

function getDefaultText(definition: SettingDefinition): string {
  if (definition.defaultText !== undefined) return `Default: ${definition.defaultText}`;
  if (typeof definition.default === 'string') return `Default: ${definition.default}`;
  return definition.isOptional === true ? 'Optional' : 'Required';
}
