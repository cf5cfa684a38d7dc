/**
 * Ends the process with the exit code of a command. A host that could not start may have left servers and
 * timers open, which would keep the process running without a ready line.
 */
export function exitProcess(code: number): void {
  process.exitCode = code;
  if (code !== 0) process.exit();
}
