import type { Result } from '../base/result.ts';
import { Err } from '../base/result.ts';
import type { GatewaySettings } from '../settings/gatewayGroups.ts';
import { handleProcessErrors } from '../host/processErrors.ts';
import { holdSignals } from '../host/processSignals.ts';
import { describeSettingProblems, parseGatewaySettings } from '../settings/parse.ts';
import { readSettingsFile } from '../settings/settingsFile.ts';
import { EXIT_GRACE_SHARE } from './constants.ts';
import { GatewayHost } from './gatewayHost.ts';
import type { PlatformFactory } from './platform.ts';

/** Interval at which the settings file is read and compared with the current settings. */
const SETTINGS_POLL_INTERVAL_MS = 1_000;

interface Options {
  argv: readonly string[];
  env: Readonly<Record<string, string | undefined>>;
  settingsFile: string | undefined;
  newPlatform: PlatformFactory;
  err: (text: string) => void;
}

/**
 * Runs one gateway host until SIGTERM or SIGINT. Returns the exit code: 0 after a graceful shutdown,
 * 2 for invalid settings. Exits with 1 when requests are still in flight near the end of the grace period.
 */
export async function runGateway(options: Options): Promise<number> {
  const signals = holdSignals();
  const stopRequested = signals.waitForStop();
  const settings = readSettings(options);
  if (settings.err) {
    options.err(settings.val);
    return 2;
  }
  const host = GatewayHost.create(settings.val, options.newPlatform);
  handleProcessErrors(host.observer);
  const isStarted = await Promise.race([host.start().then(() => true), stopRequested]);
  // No request has been accepted before the end of the start.
  if (isStarted !== true) return 0;
  const reload = (): void => reloadSettings(host, options);
  signals.on('SIGHUP', reload);
  const timer = setInterval(reload, SETTINGS_POLL_INTERVAL_MS);
  await stopRequested;
  clearInterval(timer);
  const limit = setTimeout(() => {
    const requests = host.state.forwards.inFlight.size;
    host.observer.logger.write('warn', 'graceful shutdown timed out', { requests });
    // Connections whose callers do not read their answers do not make the shutdown fail.
    process.exit(requests === 0 ? 0 : 1);
  }, host.settings.limits.graceMs * EXIT_GRACE_SHARE);
  await host.stop();
  clearTimeout(limit);
  return 0;
}

function readSettings({ argv, env, settingsFile }: Options): Result<GatewaySettings, string> {
  const file = settingsFile === undefined ? undefined : readSettingsFile(settingsFile);
  if (file?.err === true) return Err(file.val);
  const settings = parseGatewaySettings(argv, { ...file?.val, ...env });
  return settings.mapErr(describeSettingProblems);
}

/** Applies changed settings; invalid settings are logged and ignored. */
function reloadSettings(host: GatewayHost, options: Options): void {
  if (options.settingsFile === undefined) return;
  const settings = readSettings(options);
  if (settings.ok) host.updateSettings(settings.val);
  else host.logSettingsProblem(settings.val);
}
