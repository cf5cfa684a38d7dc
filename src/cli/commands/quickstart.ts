import type { Command } from '../types.ts';

export const quickstart: Command = {
  summary: 'Run one entry host and small stand-ins of the platform in this process.',
  positionals: [],
  flags: [],
  switches: [],
  settings: 'entry',
  run: async ({ argv, env }) => (await import('../quickstart.ts')).runQuickstart([...argv], env),
};
