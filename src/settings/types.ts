import { z } from 'zod';

/** What `--help`, the documents and error messages tell of a setting. */
export interface SettingDescription {
  /** Flag without the dashes; the environment variable is derived from it. */
  name: string;
  help: string;
  /** What is allowed, as a phrase that follows "allowed: ". */
  allowed: string;
  /** Value that is used when none is given; absent when the setting is required or may be left out. */
  default?: string | (() => string);
  /** Default as shown to people, where it is not a constant. */
  defaultText?: string;
  /** True when the setting may be left out although it has no default. */
  isOptional?: boolean;
  /** The value is never printed. */
  isSecret?: boolean;
}

/** Holds the description of each setting beside its schema. */
export const settingDescriptions = z.registry<SettingDescription>();

/** One thing that is wrong with the settings. */
export interface SettingProblem {
  /** Flag name, or the unknown argument as given. */
  setting: string;
  /** The value as given; undefined when none was given or when it is secret. */
  value: string | undefined;
  message: string;
}

const ENVIRONMENT_PREFIX = 'FIREFLYWICK_';

/** Returns the environment variable of a setting: `table-url` -> `FIREFLYWICK_TABLE_URL`. */
export function getEnvironmentVariable(name: string): string {
  return ENVIRONMENT_PREFIX + name.toUpperCase().replaceAll('-', '_');
}
