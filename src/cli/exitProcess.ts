/** Time for output that is being written when a command ends. */
const MAX_OUTPUT_MS = 200;

/**
 * Ends the process with the exit code of a command. A host that could not start may have left servers and
 * timers open, and one that stopped may have calls that wait for their answers; both would keep the process
 * running.
 */
export function exitProcess(code: number): void {
  process.exitCode = code;
  if (code !== 0) process.exit();
  setTimeout(() => process.exit(), MAX_OUTPUT_MS).unref();
}
