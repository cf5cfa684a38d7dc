import type { ConfigurationPort, PlatformFactory } from '../gatewayHost/platform.ts';
import type { ParsedFlags } from '../settings/flags.ts';

/** Standard output and standard error of a command. */
export interface Output {
  out: (text: string) => void;
  err: (text: string) => void;
}

/** Arguments, environment and output of one run of a command. */
export interface Invocation extends Output {
  /** Arguments after the name of the command. */
  argv: readonly string[];
  flags: ParsedFlags;
  env: Readonly<Record<string, string | undefined>>;
  /** The platform that the executable was built with; undefined when there is none. */
  newPlatform?: PlatformFactory;
  /** Decodes configurations of that platform. */
  configuration?: ConfigurationPort | undefined;
}

/** 0: done, 1: refused or failed, 2: invalid usage. */
export type ExitCode = 0 | 1 | 2;

/** A flag of a command, without dashes. */
export interface Flag {
  name: string;
  help: string;
}

/** A command of the command line. */
export interface Command {
  summary: string;
  /** Positional arguments, all required, as shown in the usage line. */
  positionals: readonly string[];
  /** Flags with a value, in addition to the settings. */
  flags: readonly Flag[];
  /** Flags without a value. */
  switches: readonly Flag[];
  /** Which settings the command reads. */
  settings: 'entry' | 'gateway' | 'operator';
  run: (invocation: Invocation) => Promise<number> | number;
}

/** Switch of all operator commands. */
export const JSON_SWITCH: Flag = { name: 'json', help: 'Print the answer as JSON.' };
