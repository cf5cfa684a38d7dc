import { newCount } from '../core/observations.ts';
import type { Observer } from './observer.ts';

/** Returns the stack of an error, or the text of any other value that was thrown. */
export function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}

/**
 * Logs and counts errors that no code handles, in callbacks and in promises, in place of ending the
 * process: one of them must not cost the requests of all callers.
 */
export function handleProcessErrors(observer: Observer): void {
  const logError = (error: unknown, origin: NodeJS.UncaughtExceptionOrigin): void => {
    observer.observe(newCount('fireflywick_unhandled_errors_total', { origin }));
    observer.logger.write('error', 'unhandled error', { origin, reason: describeError(error) });
  };
  // Once its reader is gone, an output fails with each line, and each error would write another line.
  const ignoreClosedOutput = (): void => undefined;
  process.on('uncaughtException', logError);
  for (const output of [process.stdout, process.stderr]) output.on('error', ignoreClosedOutput);
}
