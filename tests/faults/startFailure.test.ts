import { spawnSync } from 'node:child_process';
import { createServer } from 'node:net';
import { expect, it } from 'vitest';
import { GATEWAY_BUNDLE } from '../helpers/buildBundle.ts';
import { findFreePort } from '../helpers/freePort.ts';
import { cleanUpAfterTest } from '../support.ts';

const TIMEOUT_MS = 20_000;

it.each(['peer-listen', 'ready-listen', 'metrics-listen', 'front-listen'])(
  'a process ends with an error when the address of --%s is in use',
  async (taken) => {
    const flags: Record<string, string> = {
      'host-id': 'h0',
      zone: 'z1',
      region: 'r1',
      'directory-url': 'http://127.0.0.1:1',
    };
    for (const name of ['peer-listen', 'ready-listen', 'metrics-listen', 'front-listen'])
      flags[name] = `127.0.0.1:${await findFreePort('127.0.0.1')}`;
    flags['peer-address'] = flags['peer-listen'] ?? '';
    const server = createServer();
    cleanUpAfterTest(() => new Promise((resolve) => void server.close(() => resolve())));
    const port = Number(flags[taken]?.split(':')[1]);
    await new Promise<void>((resolve) => void server.listen(port, '127.0.0.1', resolve));
    const argv = Object.entries(flags).map(([name, value]) => `--${name}=${value}`);
    const { status, stderr } = spawnSync(process.execPath, [GATEWAY_BUNDLE, 'gateway', ...argv], {
      encoding: 'utf8',
      env: {},
      timeout: TIMEOUT_MS,
    });
    expect(stderr).toContain(`EADDRINUSE: address already in use 127.0.0.1:${port}`);
    expect(status).toBe(1);
  },
);
