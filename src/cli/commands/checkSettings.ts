import { describeSettingProblems, parseEntrySettings } from '../../settings/parse.ts';
import type { Command } from '../types.ts';

export const checkSettings: Command = {
  summary: 'Check the settings of entry without starting it.',
  positionals: [],
  flags: [],
  switches: [],
  settings: 'entry',
  run: ({ argv, env, out, err }) => {
    const settings = parseEntrySettings(argv, env);
    if (settings.err) {
      err(describeSettingProblems(settings.val));
      return 2;
    }
    out('The settings are valid.');
    return 0;
  },
};
