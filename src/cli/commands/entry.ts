import type { Command } from '../types.ts';

export const entry: Command = {
  summary: 'Run one entry host until it is told to stop.',
  positionals: [],
  flags: [],
  switches: [],
  settings: 'entry',
  // Other commands start faster without the host's modules.
  run: async ({ argv, env }) => (await import('../../host/runEntry.ts')).runEntry([...argv], env),
};
