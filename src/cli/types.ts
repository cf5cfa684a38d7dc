import type { PlatformFactory } from '../gatewayHost/platform.ts';
import type { ParsedFlags } from '../settings/flags.ts';

/** Where a command prints. */
export interface Output {
  out: (text: string) => void;
  err: (text: string) => void;
}

/** What a command works with. */
export interface Invocation extends Output {
  /** Arguments after the command's name. */
  argv: readonly string[];
  flags: ParsedFlags;
  env: Readonly<Record<string, string | undefined>>;
  /** The platform that the executable was built with; undefined when there is none. */
  newPlatform?: PlatformFactory;
}

/** 0 done, 1 refused or failed, 2 wrong usage. */
export type ExitCode = 0 | 1 | 2;

/** A flag of one command. */
export interface Flag {
  name: string;
  help: string;
}

/** A command of the command line. */
export interface Command {
  summary: string;
  /** Positional arguments, all required, as shown in the usage line. */
  positionals: readonly string[];
  /** Flags with a value, besides the settings. */
  flags: readonly Flag[];
  switches: readonly Flag[];
  /** Settings that the command reads. */
  settings: 'entry' | 'gateway' | 'operator';
  run: (invocation: Invocation) => Promise<number> | number;
}

export const JSON_SWITCH: Flag = { name: 'json', help: 'Print the answer as JSON.' };
