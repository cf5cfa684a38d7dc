import type { Result } from '../base/result.ts';
import { Err } from '../base/result.ts';
import type { GatewaySettings } from '../settings/gatewayGroups.ts';
import { describeSettingProblems, parseGatewaySettings } from '../settings/parse.ts';
import { readSettingsFile } from '../settings/settingsFile.ts';
import { GatewayHost } from './gatewayHost.ts';
import type { PlatformFactory } from './platform.ts';

/** Interval at which the settings file is compared with what is in force. */
const SETTINGS_CHECK_MS = 1_000;
/** Share of the grace period after SIGTERM that a stopping host uses. */
const GRACE_SHARE = 0.93;

interface Options {
  argv: readonly string[];
  env: Readonly<Record<string, string | undefined>>;
  settingsFile: string | undefined;
  newPlatform: PlatformFactory;
  err: (text: string) => void;
}

/**
 * Runs one host until it is told to stop. Returns the exit code: 0 after a graceful shutdown, 1 when
 * it did not end in time, 2 for wrong settings.
 */
export async function runGateway(options: Options): Promise<number> {
  const settings = readSettings(options);
  if (settings.err) {
    options.err(settings.val);
    return 2;
  }
  const host = GatewayHost.create(settings.val, options.newPlatform);
  await host.start();
  const reload = (): void => reloadSettings(host, options);
  process.on('SIGHUP', reload);
  const timer = setInterval(reload, SETTINGS_CHECK_MS);
  await waitForStop();
  clearInterval(timer);
  const limit = setTimeout(() => {
    host.observer.logger.write('warn', 'graceful shutdown did not end in time');
    process.exit(1);
  }, host.settings.limits.graceMs * GRACE_SHARE);
  await host.stop();
  clearTimeout(limit);
  process.off('SIGHUP', reload);
  return 0;
}

function waitForStop(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => resolve());
  });
}

function readSettings({ argv, env, settingsFile }: Options): Result<GatewaySettings, string> {
  const file = settingsFile === undefined ? undefined : readSettingsFile(settingsFile);
  if (file?.err === true) return Err(file.val);
  const settings = parseGatewaySettings(argv, { ...file?.val, ...env });
  return settings.mapErr(describeSettingProblems);
}

/** Takes over settings that changed; wrong ones are logged and change nothing. */
function reloadSettings(host: GatewayHost, options: Options): void {
  if (options.settingsFile === undefined) return;
  const settings = readSettings(options);
  if (settings.ok) host.updateSettings(settings.val);
  else host.logSettingsProblem(settings.val);
}
