import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { routingConfigurations } from '../../platform/routing.ts';
import { findJsonLine } from '../../src/cli/jsonPlaces.ts';
import { runCommand } from '../../src/cli/runCommand.ts';

let folder = '';
beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'fireflywick-'));
});
afterEach(() => rmSync(folder, { recursive: true, force: true }));

const ROUTE = {
  name: 'r1',
  host: 'a.example',
  pathPrefix: '/a/',
  kind: 'safe',
  timeoutMs: 1_000,
  goalLatencyMs: 100,
  priority: 1,
  service: 's1',
};
const TENANT = { name: 't1', apiKeys: ['secret1'], ratePerS: 10, burst: 10 };
const VALID = {
  version: 2,
  routes: [ROUTE],
  services: [{ name: 's1' }],
  limits: { headerBytes: 8_000, bodyBytes: 8_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
  tenants: [TENANT],
};

function write(name: string, value: unknown): string {
  const file = join(folder, name);
  writeFileSync(file, typeof value === 'string' ? value : JSON.stringify(value, undefined, 2));
  return file;
}

async function run(argv: string[]): Promise<{ code: number; text: string }> {
  const lines: string[] = [];
  const output = {
    out: (text: string) => lines.push(text),
    err: (text: string) => lines.push(text),
  };
  const code = await runCommand(['config', ...argv], {}, output, undefined, routingConfigurations);
  return { code, text: lines.join('\n') };
}

// Guards against a configuration that hosts refuse, or that does not do what its operator means.
describe('config check', () => {
  it.each<[string, unknown, number, RegExp]>([
    ['accepts a valid file', VALID, 0, /is valid: 0 errors, 0 warnings/],
    [
      'names the place of an error',
      { ...VALID, tenants: [{ ...TENANT, ratePerS: -1 }] },
      1,
      /error: line 3\d: tenants\.0\.ratePerS/,
    ],
    [
      'finds keys of two tenants',
      { ...VALID, tenants: [TENANT, { ...TENANT, name: 't2' }] },
      1,
      /tenants\.1\.apiKeys\.0: .*"t1"/,
    ],
    [
      'finds routes that another one hides',
      { ...VALID, routes: [ROUTE, { ...ROUTE, name: 'r2' }] },
      0,
      /routes\.1: route "r1" takes all/,
    ],
    [
      'finds prefixes that match no path',
      { ...VALID, routes: [{ ...ROUTE, pathPrefix: '/a?b/' }] },
      0,
      /matches no path/,
    ],
    [
      'finds hosts with a port',
      { ...VALID, routes: [{ ...ROUTE, host: 'a:80' }] },
      0,
      /"a:80" matches no request/,
    ],
    [
      'finds services that do not exist',
      { ...VALID, services: [] },
      0,
      /service "s1" does not exist/,
    ],
    [
      'finds services that no route uses',
      { ...VALID, services: [{ name: 's1' }, { name: 's2' }] },
      0,
      /no route leads to "s2"/,
    ],
    [
      'finds weights of nothing',
      {
        ...VALID,
        routes: [{ ...ROUTE, service: undefined, split: [{ service: 's1', weight: 0 }] }],
      },
      0,
      /add up to nothing/,
    ],
    [
      'finds times that contradict each other',
      { ...VALID, routes: [{ ...ROUTE, goalLatencyMs: 2_000 }] },
      0,
      /later than its timeout/,
    ],
    [
      'finds attempts that do not fit',
      { ...VALID, routes: [{ ...ROUTE, attempts: 20 }] },
      0,
      /20 attempts of 100 ms/,
    ],
    [
      'finds tenants without keys',
      { ...VALID, tenants: [{ ...TENANT, apiKeys: [] }] },
      0,
      /it has no key/,
    ],
    [
      'finds bursts below a request',
      { ...VALID, tenants: [{ ...TENANT, unit: 'token_stream', plainTokens: 200 }] },
      0,
      /below the 200/,
    ],
    ['refuses what is no JSON', '{ "version": ', 2, /cannot be read/],
  ])('%s', async (_name, value, code, expected) => {
    const answer = await run(['check', write('new.json', value)]);
    expect(answer).toMatchObject({ code, text: expect.stringMatching(expected) as string });
    expect(answer.text).not.toContain('secret1');
  });

  it('lists what differs from the configuration in force, and shows no key', async () => {
    const next = {
      ...VALID,
      version: 3,
      routes: [
        { ...ROUTE, timeoutMs: 500 },
        { ...ROUTE, name: 'r2', pathPrefix: '/b/' },
      ],
      tenants: [{ ...TENANT, apiKeys: ['secret2', 'secret3'] }],
    };
    const { code, text } = await run([
      'check',
      write('new.json', next),
      `--against=${write('old.json', VALID)}`,
    ]);
    expect(code).toBe(0);
    expect(text.split('\n').slice(0, 5)).toEqual([
      'added: route r2',
      'changed: route r1',
      '  timeoutMs: 1000 -> 500',
      'changed: tenant t1',
      '  keys: 1 keys -> 2 keys',
    ]);
    expect(text).not.toMatch(/secret/);
  });

  it('tells that hosts would ignore a version', async () => {
    const file = write('same.json', VALID);
    const { text } = await run(['check', file, `--against=${file}`]);
    expect(text).toContain('version 2 is not above 2');
  });

  it('prints JSON for scripts', async () => {
    const { text } = await run(['check', write('new.json', VALID), '--json']);
    expect(JSON.parse(text)).toEqual({ errors: [], warnings: [], differences: [] });
  });

  it.each([
    [['check'], 'FILE is missing'],
    [['send', 'x'], 'is no action'],
    [['check', '/nowhere.json'], 'cannot be read'],
  ])('%j is wrong usage', async (argv, expected) => {
    const { code, text } = await run(argv);
    expect(code).toBe(2);
    expect(text).toContain(expected);
  });
});

// Guards against places that are wrong where texts hold braces, quotes or escapes.
it.each<[string, PropertyKey[], number]>([
  ['{\n"a": 1,\n"b": 2}', ['b'], 3],
  ['{"a": "}\\"{",\n"b": [1,\n2]}', ['b', 1], 3],
  ['{"a": {"b": {\n"c": [{},\n{"d": 0}]}}}', ['a', 'b', 'c', 1, 'd'], 3],
  ['{"a": [1]}', ['a', 7, 'x'], 1],
  ['\n\n[]', [], 3],
])('finds the line in %j of %j', (text, path, line) => {
  expect(findJsonLine(text, path)).toBe(line);
});
