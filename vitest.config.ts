import { defineConfig } from 'vitest/config';

const shared = { testTimeout: 60_000, hookTimeout: 60_000, pool: 'forks' as const };

export default defineConfig({
  test: {
    projects: [
      {
        test: {
          ...shared,
          name: 'modules',
          include: ['tests/**/*.test.ts'],
          exclude: ['tests/faults/**', 'tests/crowds/**'],
          maxWorkers: 4,
          sequence: { groupOrder: 0 },
        },
      },
      {
        test: {
          ...shared,
          name: 'faults',
          include: ['tests/faults/**/*.test.ts'],
          globalSetup: 'tests/helpers/buildBundle.ts',
          testTimeout: 120_000,
          // Each test file starts whole deployments of host processes, so few run at once.
          maxWorkers: 2,
          sequence: { groupOrder: 1 },
        },
      },
      {
        test: {
          ...shared,
          name: 'crowds',
          include: ['tests/crowds/**/*.test.ts'],
          globalSetup: 'tests/helpers/buildBundle.ts',
          testTimeout: 120_000,
          // What a process takes of memory depends on how fast it is served, so one runs at a time.
          maxWorkers: 1,
          sequence: { groupOrder: 2 },
        },
      },
    ],
  },
});
