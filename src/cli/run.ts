/** Runs the command that `argv` names and returns the exit code: 0 done, 1 failed, 2 wrong usage. */
export function runCommand(argv: string[]): Promise<number> {
  console.error(`unknown command "${argv[0] ?? ''}"`);
  return Promise.resolve(2);
}
