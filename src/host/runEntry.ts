import { describeSettingProblems, parseEntrySettings } from '../settings/parse.ts';
import { EntryHost } from './entryHost.ts';
import { handleProcessErrors } from './processErrors.ts';

/**
 * Runs one entry host until SIGTERM or SIGINT. Prints one JSON line with its ports when it listens.
 * Returns the exit code: 0 after a graceful shutdown, 2 for invalid settings. Exits with 1 when the
 * shutdown does not complete in time.
 */
export async function runEntry(argv: string[], env: NodeJS.ProcessEnv): Promise<number> {
  const settings = parseEntrySettings(argv, env);
  if (settings.err) {
    console.error(describeSettingProblems(settings.val));
    return 2;
  }
  const host = EntryHost.create(settings.val);
  handleProcessErrors(host.observer);
  const ports = await host.start();
  console.log(JSON.stringify({ ready: true, ...ports }));
  await waitForSignal();
  return stopWithin(host, settings.val.limits.shutdownMs);
}

/** Resolves at the first SIGTERM or SIGINT. */
export function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => resolve());
  });
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
