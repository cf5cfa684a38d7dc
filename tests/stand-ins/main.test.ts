import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { describe, expect, it } from 'vitest';
import { HttpClient } from '../../src/clients/httpClient.ts';
import { closeAfterTest } from '../support.ts';

function runStandIn(...args: string[]) {
  const child = spawn(process.execPath, ['--import', 'tsx', 'stand-ins/main.ts', ...args]);
  const exited = new Promise<number | null>((resolve) => child.once('exit', resolve));
  return { child, exited };
}

describe('npm run stand-in', () => {
  it.each([
    { args: ['engine', '--port', '0', '--slots', '2'], path: '/load', status: 200 },
    { args: ['table', '--writes-per-s', '5'], path: '/rows/x', status: 404 },
    { args: ['objects'], path: '/objects/x', status: 404 },
    { args: ['hosts', '--lag-ms', '0'], path: '/hosts', status: 200 },
    { args: ['service'], path: '/records', status: 200 },
    { args: ['weights', '--loads-per-s', '2.5'], path: '/records', status: 200 },
  ])('runs $args in a separate process', async ({ args, path, status }) => {
    const { child, exited } = runStandIn(...args);
    const line = await new Promise<string>((resolve) => {
      createInterface(child.stdout).once('line', resolve);
    });
    const { address } = JSON.parse(line) as { address: string };
    const http = closeAfterTest(HttpClient.create());
    const answer = await http.call({ address, method: 'GET', path, timeoutMs: 10_000 });
    child.kill('SIGTERM');
    expect(answer).toMatchObject({ type: 'answered', status });
    expect(await exited).toBe(0);
  });

  it.each([{ args: ['engine', '--slots', 'many'] }, { args: ['unknown'] }])(
    'exits with code 2 on invalid arguments: $args',
    async ({ args }) => {
      expect(await runStandIn(...args).exited).toBe(2);
    },
  );
});
