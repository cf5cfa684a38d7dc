import { describeSettingProblems, parseEntrySettings } from '../settings/parse.ts';
import { EntryHost } from './entryHost.ts';
import { handleProcessErrors } from './processErrors.ts';
import { holdSignals } from './processSignals.ts';

/**
 * Runs one entry host until SIGTERM or SIGINT. Prints one JSON line with its ports when it listens.
 * Returns the exit code: 0 after a graceful shutdown, 2 for invalid settings. Exits with 1 when the
 * shutdown does not complete in time.
 */
export async function runEntry(argv: string[], env: NodeJS.ProcessEnv): Promise<number> {
  const signals = holdSignals();
  const stopRequested = signals.waitForStop();
  // The settings are read at the start only.
  signals.on('SIGHUP', () => undefined);
  const settings = parseEntrySettings(argv, env);
  if (settings.err) {
    console.error(describeSettingProblems(settings.val));
    return 2;
  }
  const host = EntryHost.create(settings.val);
  handleProcessErrors(host.observer);
  const ports = await Promise.race([host.start(), stopRequested]);
  // No request has been accepted before the end of the start.
  if (ports === undefined) return 0;
  console.log(JSON.stringify({ ready: true, ...ports }));
  await stopRequested;
  return stopWithin(host, settings.val.limits.shutdownMs);
}

async function stopWithin(host: EntryHost, limitMs: number): Promise<number> {
  const limit = setTimeout(() => {
    console.error(`graceful shutdown did not end within ${limitMs} ms`);
    process.exit(1);
  }, limitMs);
  await host.stop();
  clearTimeout(limit);
  return 0;
}
