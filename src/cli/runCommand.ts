import type { ConfigurationPort, PlatformFactory } from '../gatewayHost/platform.ts';
import { parseFlags, type ParsedFlags, VERSION } from '../settings/flags.ts';
import { describeSettingProblems, getUsageProblems } from '../settings/parse.ts';
import { COMMANDS } from './commands/index.ts';
import { getCommandHelp, getHelp, getCommandSettings } from './help.ts';
import type { Command, Invocation, Output } from './types.ts';

const HELP_FLAGS = ['--help', '-h'];
const CONSOLE: Output = {
  out: (text) => console.log(text),
  err: (text) => console.error(text),
};

/** Runs the command named by `argv` and returns its exit code, as `ExitCode` defines it. */
export async function runCommand(
  argv: readonly string[],
  env: Invocation['env'] = process.env,
  output: Output = CONSOLE,
  newPlatform?: PlatformFactory,
  configuration?: ConfigurationPort,
): Promise<number> {
  const [name = '', ...rest] = argv;
  if (HELP_FLAGS.includes(name)) {
    output.out(getHelp());
    return 0;
  }
  if (name === '--version') {
    output.out(VERSION);
    return 0;
  }
  const command = COMMANDS.get(name);
  if (command === undefined) {
    const problem = name.startsWith('-')
      ? `${name} is not a known flag`
      : describeUnknownCommand(name);
    output.err(`${problem}\n\n${getHelp()}`);
    return 2;
  }
  if (rest.some((argument) => HELP_FLAGS.includes(argument))) {
    output.out(getCommandHelp(name, command));
    return 0;
  }
  const flags = parseCommandFlags(command, rest);
  const problems = getUsageErrors(command, flags);
  if (problems.length > 0) {
    output.err(`${problems.join('\n')}\nfireflywick ${name} --help shows the usage.`);
    return 2;
  }
  try {
    return await command.run({ argv: rest, flags, env, newPlatform, configuration, ...output });
  } catch (error) {
    output.err(`${name} failed: ${error instanceof Error ? error.message : String(error)}`);
    return 1;
  }
}

function describeUnknownCommand(name: string): string {
  return name === '' ? 'a command is missing' : `"${name}" is not a known command`;
}

function parseCommandFlags(command: Command, argv: readonly string[]): ParsedFlags {
  const names = [...getCommandSettings(command), ...command.flags].map((flag) => flag.name);
  return parseFlags(
    argv,
    names,
    command.switches.map((flag) => flag.name),
  );
}

/**
 * Returns the errors in the arguments of a command. Commands that run a host report unknown flags
 * and extra arguments themselves, together with the problems of their settings.
 */
function getUsageErrors(command: Command, flags: ParsedFlags): string[] {
  const missing = command.positionals
    .slice(flags.positionals.length)
    .map((name) => `${name} is missing`);
  if (command.settings !== 'operator') return missing;
  const extra = flags.positionals
    .slice(command.positionals.length)
    .map((argument) => `argument "${argument}" is not expected`);
  const usageProblems = getUsageProblems(flags);
  return [
    ...missing,
    ...extra,
    ...(usageProblems.length === 0 ? [] : [describeSettingProblems(usageProblems)]),
  ];
}
