import { runEntry } from '../host/entry.ts';
import { runQuickstart } from './quickstart.ts';

type Command = (argv: string[], env: NodeJS.ProcessEnv) => Promise<number>;

const commands: Record<string, Command | undefined> = {
  entry: runEntry,
  quickstart: runQuickstart,
};

/** Runs the command that `argv` names and returns the exit code: 0 done, 1 failed, 2 wrong usage. */
export async function runCommand([name = '', ...argv]: string[]): Promise<number> {
  const command = commands[name];
  if (command !== undefined) return command(argv, process.env);
  console.error(`unknown command "${name}", allowed: ${Object.keys(commands).join(', ')}`);
  return 2;
}
