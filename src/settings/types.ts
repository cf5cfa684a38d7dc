import { z } from 'zod';

/** Name, help and default of a setting for `--help`, the documentation and error messages. */
export interface SettingDescription {
  /** Flag without dashes; the name of the environment variable is derived from it. */
  name: string;
  help: string;
  /** Allowed values, as a phrase that follows "allowed: ". */
  allowed: string;
  /** Used when no value is given; absent for required and optional settings. */
  default?: string | (() => string);
  /** Text shown for a default that is computed. */
  defaultText?: string;
  /** Whether the setting can be omitted although it has no default. */
  isOptional?: boolean;
  /** Whether the value must never be printed. */
  isSecret?: boolean;
}

/** Descriptions of settings by schema. */
export const settingDescriptions = z.registry<SettingDescription>();

/** A problem found in the settings. */
export interface SettingProblem {
  /** Flag, environment variable or argument that the problem concerns. */
  setting: string;
  /** The given value; undefined when there is none or it is secret. */
  value: string | undefined;
  message: string;
}

const ENVIRONMENT_PREFIX = 'FIREFLYWICK_';

/** Returns the name of a setting's environment variable: `table-url` -> `FIREFLYWICK_TABLE_URL`. */
export function getEnvironmentVariable(name: string): string {
  return ENVIRONMENT_PREFIX + name.toUpperCase().replaceAll('-', '_');
}
