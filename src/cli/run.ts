import { runQuickstart } from './quickstart.ts';

/** Runs the command that `argv` names and returns the exit code: 0 done, 1 failed, 2 wrong usage. */
export async function runCommand([name = '', ...argv]: string[]): Promise<number> {
  if (name === 'quickstart') return runQuickstart(argv, process.env);
  console.error(`unknown command "${name}"`);
  return 2;
}
