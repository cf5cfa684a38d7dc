import { execFileSync, spawnSync } from 'node:child_process';
import { beforeAll, describe, expect, it } from 'vitest';
import packageJson from '../../package.json' with { type: 'json' };

const BINARY = 'dist/fireflywick';

// Bundling can break code that works unbundled, such as modules that read their own path.
describe.each([
  ['bundle', process.execPath, ['dist/fireflywick.cjs']],
  ['binary', BINARY, []],
])('the %s', (_name, file, first) => {
  it.each([
    [['--version'], 0, `${packageJson.version}\n`],
    [['--help'], 0, 'Usage: fireflywick COMMAND'],
    [['hosts', '--nope'], 2, '--nope is not a known flag'],
    [['check-settings', '--zone=B'], 2, '--zone = "B" is not allowed'],
    [['check-settings', '--zone=B'], 2, '--table-url (or FIREFLYWICK_TABLE_URL) is required'],
  ])('answers %j', (argv, status, text) => {
    const result = spawnSync(file, [...first, ...argv], { encoding: 'utf8', env: {} });
    expect(result.stdout + result.stderr).toContain(text);
    expect(result.status).toBe(status);
  });
});

beforeAll(() => {
  execFileSync(process.execPath, ['scripts/build.mjs'], { stdio: 'pipe' });
});
