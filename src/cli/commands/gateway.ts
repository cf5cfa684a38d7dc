import { SETTINGS_FILE_FLAG } from '../../settings/settingsFile.ts';
import type { Command } from '../types.ts';

export const gateway: Command = {
  summary: 'Run one host that forwards requests by the routes of a directory.',
  positionals: [],
  flags: [
    {
      name: SETTINGS_FILE_FLAG,
      help: 'File of NAME=value lines with the names of the environment variables, which take precedence over the file. It is read again when it changes and on SIGHUP.',
    },
  ],
  switches: [],
  settings: 'gateway',
  // Loads the host's modules on demand, since other commands start faster without them.
  run: async ({ argv, env, flags, newPlatform, err }) => {
    if (newPlatform === undefined) {
      err('gateway requires an executable that is built with a platform adapter');
      return 1;
    }
    const { runGateway } = await import('../../gatewayHost/runGateway.ts');
    return runGateway({
      argv,
      env,
      settingsFile: flags.values.get(SETTINGS_FILE_FLAG),
      newPlatform,
      err,
    });
  },
};
