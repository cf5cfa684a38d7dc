import { SETTINGS_FILE_FLAG } from '../../settings/settingsFile.ts';
import type { Command } from '../types.ts';

export const gateway: Command = {
  summary: 'Run one host that forwards requests by the routes of a directory.',
  positionals: [],
  flags: [
    {
      name: SETTINGS_FILE_FLAG,
      help: 'File of NAME=value lines with the names of the environment variables, which go before it. It is read again when it changes and at SIGHUP.',
    },
  ],
  switches: [],
  settings: 'gateway',
  // Other commands start faster without the host's modules.
  run: async ({ argv, env, flags, newPlatform, err }) => {
    if (newPlatform === undefined) {
      err('gateway needs an executable that was built with a platform');
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
