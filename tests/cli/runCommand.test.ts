import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { runCommand } from '../../src/cli/runCommand.ts';
import { newAdminServer, SETTINGS_ARGV } from '../admin/fixture.ts';

const { cluster, server } = newAdminServer();
const folder = mkdtempSync(join(tmpdir(), 'fireflywick-'));
const intent = join(folder, 'intent.yaml');
let env: Record<string, string> = {};

beforeAll(async () => {
  const url = `http://127.0.0.1:${await server.start()}`;
  env = { FIREFLYWICK_SERVER: url, FIREFLYWICK_OPERATOR_KEY: 'op-key' };
  writeFileSync(intent, 'shares: [{ firm: atlas, share: 0.5 }]');
});
afterAll(async () => {
  await server.stop();
  rmSync(folder, { recursive: true });
});

async function run(...argv: string[]) {
  const out: string[] = [];
  const err: string[] = [];
  const output = { out: (text: string) => out.push(text), err: (text: string) => err.push(text) };
  const code = await runCommand(argv, env, output);
  return { code, out: out.join('\n'), err: err.join('\n') };
}

describe('invalid usage', () => {
  it.each([
    [['--nope'], '--nope is not a known flag'],
    [[], 'a command is missing'],
    [['nope'], '"nope" is not a known command'],
    [['plan'], 'FILE is missing'],
    [['hosts', 'x'], 'argument "x" is not expected'],
    [['hosts', '--jsn', '--wat'], '--jsn is not a known flag\n--wat is not a known flag'],
    [['hosts', '--server=ftp://x'], '--server = "ftp://x" is not allowed; allowed: an http'],
    [['hosts', '--operator-key=a b'], '--operator-key is not allowed'],
    [['check-settings', '--zone=B', 'x'], '--zone = "B"'],
  ])('%j exits with 2 and names the problem', async (argv, text) => {
    const { code, out, err } = await run(...argv);
    expect(err).toContain(text);
    expect({ code, out }).toEqual({ code: 2, out: '' });
  });
});

describe('commands', () => {
  it('make a plan, confirm it and reject a stale one', async () => {
    const planned = await run('plan', intent);
    expect(planned).toMatchObject({ code: 0, err: '' });
    expect(planned.out).toContain('set share of firm atlas: 0.5');
    const id = /^Plan (\S+)/.exec(planned.out)?.[1] ?? '';
    const stale = JSON.parse((await run('plan', intent, '--json')).out) as { id: string };
    expect(await run('confirm', id, '--wait')).toEqual({
      code: 0,
      out: `Plan ${id} is confirmed as revision 1.`,
      err: 'revision 1 is in force on every reachable host',
    });
    const refused = await run('confirm', stale.id);
    expect(refused.code).toBe(1);
    expect(refused.err).toContain('stale_plan');
    expect(refused.err).toContain('\n  revision 1 by olga: set share of firm atlas: 0.5');
    expect((await run('plan', intent)).out).toContain('Nothing to change');
  });

  it.each([
    [['configuration'], 'revision 1\nshares:\n  {"firm":"atlas","share":0.5}'],
    [['hosts'], /HOST +ZONE.*\nh1 +z +joining +yes +1 /],
    [['engines'], 'ENGINE'],
    [['audit', '--limit=1'], /revision 1 by olga: confirm .*\n {2}set share of firm atlas: 0.5/],
    [['audit', '--json'], /"revision": 1/],
    [['suspects'], 'No suspects.'],
    [['drafts'], 'No drafts.'],
    [['check-settings', ...SETTINGS_ARGV], 'The settings are valid.'],
    [['confirm', '--help'], '--wait'],
    [['check-settings', '--help'], 'FIREFLYWICK_TABLE_URL'],
    [['--help'], 'check-settings'],
    [['--version'], /^\d+\.\d+\.\d+$/],
  ])('%j prints its answer', async (argv, text) => {
    const { code, out } = await run(...argv);
    expect(out).toMatch(text);
    expect(code).toBe(0);
  });

  it.each([
    [['plan', '/no/such/file'], 'cannot be read (ENOENT)'],
    [['confirm', 'none'], 'not_found: plan "none" does not exist'],
    [['audit', '--limit=0'], 'limit is "0", allowed: a whole number from 1 to 200'],
    [['drafts', '--retry=d1'], 'not_found: draft d1 does not exist'],
    [['suspects', '--clear=f1'], 'not_found: suspect "f1" does not exist'],
    [['hosts', '--operator-key=wrong'], 'unauthorized'],
    [['hosts', '--server=http://127.0.0.1:1'], 'no answer from http://127.0.0.1:1'],
    [['hosts', '--json', '--operator-key=wrong'], '{"error":{"message":"unauthorized'],
  ])('%j exits with 1 and says why', async (argv, text) => {
    const { code, out, err } = await run(...argv);
    expect(err).toContain(text);
    expect({ code, out }).toEqual({ code: 1, out: '' });
  });

  it('reports an unknown outcome when the answer to the write of a confirm is lost', async () => {
    writeFileSync(intent, 'shares: [{ firm: atlas, share: 0.4 }]');
    const { id } = JSON.parse((await run('plan', intent, '--json')).out) as { id: string };
    cluster.fault = (call) => (call.type === 'write' ? 'lost' : undefined);
    const confirming = run('confirm', id);
    while (cluster.getState('h1').operators.pendingRequests.size === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    cluster.advance(15_000);
    for (const [id, answer] of cluster.answers) server.answer(id, answer);
    expect(await confirming).toMatchObject({ code: 1, out: '' });
    expect((await confirming).err).toContain('the outcome is unknown');
  });
});
