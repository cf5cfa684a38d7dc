import { Err, Ok, type Result } from '../base/result.ts';
import {
  GATEWAY_SETTINGS,
  OPERATOR_SETTINGS,
  ENTRY_SETTINGS,
  type SettingDefinition,
} from './definitions.ts';
import { type ParsedFlags, parseFlags } from './flags.ts';
import type { GatewaySettings } from './gatewayGroups.ts';
import type { OperatorSettings, EntrySettings } from './entryGroups.ts';
import { SETTINGS_FILE_FLAG } from './settingsFile.ts';
import { type SettingProblem, getEnvironmentVariable } from './types.ts';
import type { z } from 'zod';

type Environment = Readonly<Record<string, string | undefined>>;
type Values = Record<string, Record<string, unknown>>;

/**
 * Parses the settings of `entry`. A flag takes precedence over the environment, and the environment
 * over the default. Fails with a list of all problems.
 */
export function parseEntrySettings(
  argv: readonly string[],
  env: Environment,
): Result<EntrySettings, SettingProblem[]> {
  const { values, problems } = readHostSettings(ENTRY_SETTINGS, [], argv, env);
  const allProblems = [...problems, ...getConflicts(values)];
  return allProblems.length === 0 ? Ok(values as unknown as EntrySettings) : Err(allProblems);
}

/**
 * Parses the settings of `gateway`. A flag takes precedence over the environment, and the environment
 * over the default. Fails with a list of all problems.
 */
export function parseGatewaySettings(
  argv: readonly string[],
  env: Environment,
): Result<GatewaySettings, SettingProblem[]> {
  const { values, problems } = readHostSettings(GATEWAY_SETTINGS, [SETTINGS_FILE_FLAG], argv, env);
  return problems.length === 0 ? Ok(values as unknown as GatewaySettings) : Err(problems);
}

/** Reads the settings of a command that runs a host; positional arguments are problems. */
function readHostSettings(
  definitions: readonly SettingDefinition[],
  otherFlags: readonly string[],
  argv: readonly string[],
  env: Environment,
): { values: Values; problems: SettingProblem[] } {
  const flags = parseFlags(argv, [...definitions.map(({ name }) => name), ...otherFlags], []);
  const usageProblems = [
    ...getUsageProblems(flags),
    ...flags.positionals.map((argument) => ({
      setting: `argument "${argument}"`,
      value: undefined,
      message: 'is not expected',
    })),
  ];
  const { values, problems } = readSettings(definitions, flags, env);
  return { values, problems: [...usageProblems, ...problems] };
}

/** Parses the settings of a command that calls the operators' API; fails with a list of all problems. */
export function parseOperatorSettings(
  flags: ParsedFlags,
  env: Environment,
): Result<z.infer<typeof OperatorSettings>, SettingProblem[]> {
  const { values, problems } = readSettings(OPERATOR_SETTINGS, flags, env);
  if (problems.length > 0) return Err(problems);
  return Ok(values.operator as z.infer<typeof OperatorSettings>);
}

/** Returns a problem for each unknown or duplicate flag. */
export function getUsageProblems(flags: ParsedFlags): SettingProblem[] {
  return [
    ...flags.unknown.map((flag) => ({
      setting: flag,
      value: undefined,
      message: 'is not a known flag',
    })),
    ...flags.duplicates.map((name) => ({
      setting: `--${name}`,
      value: undefined,
      message: 'is given more than once',
    })),
  ];
}

/** Returns a message with one problem a line. */
export function describeSettingProblems(problems: readonly SettingProblem[]): string {
  return problems
    .map(({ setting, value, message }) =>
      value === undefined
        ? `${setting} ${message}`
        : `${setting} = ${JSON.stringify(value)} ${message}`,
    )
    .join('\n');
}

function readSettings(
  definitions: readonly SettingDefinition[],
  flags: ParsedFlags,
  env: Environment,
): { values: Values; problems: SettingProblem[] } {
  const values: Values = {};
  const problems: SettingProblem[] = [];
  for (const definition of definitions) {
    const raw = getRawValue(definition, flags, env);
    const parsed = definition.schema.safeParse(raw.text);
    if (parsed.success) (values[definition.group] ??= {})[definition.key] = parsed.data;
    else problems.push(newProblem(definition, raw, parsed.error.issues[0]?.message ?? ''));
  }
  return { values, problems };
}

interface RawValue {
  text: string | undefined;
  /** Flag or environment variable to name in a problem. */
  source: string;
}

function getRawValue(
  definition: SettingDefinition,
  flags: ParsedFlags,
  env: Environment,
): RawValue {
  const flag = `--${definition.name}`;
  const flagText = flags.values.get(definition.name);
  if (flagText !== undefined) return { text: flagText, source: flag };
  const variable = getEnvironmentVariable(definition.name);
  const environmentText = env[variable];
  // An empty variable counts as unset, since deployment tools can't always omit one.
  if (environmentText) return { text: environmentText, source: variable };
  const text = typeof definition.default === 'function' ? definition.default() : definition.default;
  return { text, source: flag };
}

function newProblem(definition: SettingDefinition, raw: RawValue, message: string): SettingProblem {
  const alternative =
    raw.text === undefined ? ` (or ${getEnvironmentVariable(definition.name)})` : '';
  return {
    setting: raw.source + alternative,
    value: definition.isSecret ? undefined : raw.text,
    message: `${message}; allowed: ${definition.allowed}`,
  };
}

/** Returns contradictions between settings; skips settings that failed to parse. */
function getConflicts(values: Values): SettingProblem[] {
  const limits = (values.limits ?? {}) as Partial<EntrySettings['limits']>;
  const { shutdownMs, maxRequestMs, defaultRequestMs } = limits;
  const problems: SettingProblem[] = [];
  if (maxRequestMs === undefined) return problems;
  if (shutdownMs !== undefined && shutdownMs < maxRequestMs) {
    problems.push({
      setting: '--shutdown-limit',
      value: `${shutdownMs}ms`,
      message: `is below the longest request; allowed: from --max-deadline (${maxRequestMs}ms) to 60m`,
    });
  }
  if (defaultRequestMs !== undefined && defaultRequestMs > maxRequestMs) {
    problems.push({
      setting: '--default-deadline',
      value: `${defaultRequestMs}ms`,
      message: `is above the longest request; allowed: at most --max-deadline (${maxRequestMs}ms)`,
    });
  }
  return problems;
}
