import type { Command } from '../types.ts';

export const entry: Command = {
  summary: 'Run one entry host until it is told to stop.',
  positionals: [],
  flags: [],
  switches: [],
  settings: 'entry',
  // Loads the host's modules on demand, since other commands start faster without them.
  run: async ({ argv, env }) => (await import('../../host/runEntry.ts')).runEntry([...argv], env),
};
