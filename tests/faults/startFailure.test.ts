import { spawnSync } from 'node:child_process';
import { createServer, type Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { GatewayDeployment } from '../gatewayHost/deployment.ts';
import { GATEWAY_BUNDLE } from '../helpers/buildBundle.ts';
import { findFreePort } from '../helpers/freePort.ts';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

const TIMEOUT_MS = 20_000;
/** Time for which the process before may hold an address. */
const TAKEN_MS = 1_000;

/** Listens at a free port until it is closed. */
async function takePort(): Promise<{ port: number; server: Server }> {
  const server = createServer();
  const port = await findFreePort('127.0.0.1');
  await new Promise<void>((resolve) => void server.listen(port, '127.0.0.1', resolve));
  cleanUpAfterTest(() => new Promise((resolve) => void server.close(() => resolve())));
  return { port, server };
}

it.each(['peer-listen', 'ready-listen', 'front-listen'])(
  'a process ends with an error when the address of --%s stays in use',
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
    const { port } = await takePort();
    flags[taken] = `127.0.0.1:${port}`;
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

describe('a process that finds an address in use', () => {
  async function startGateway(change: Record<string, string>): Promise<GatewayProcess> {
    const deployment = await GatewayDeployment.create();
    deployment.configure(1);
    await deployment.addServer('desk', 'd1');
    const gateway = await GatewayProcess.start('h0', deployment.storeAddress, change);
    cleanUpAfterTest(() => gateway.kill());
    return gateway;
  }

  // Guards against processes that end because the one before them still holds an address.
  it.each(['PEER', 'FRONT', 'READY', 'METRICS'])(
    'that of FIREFLYWICK_%s_LISTEN serves once it is free',
    async (name) => {
      const { port, server } = await takePort();
      const address = `127.0.0.1:${port}`;
      const change: Record<string, string> = { [`FIREFLYWICK_${name}_LISTEN`]: address };
      if (name === 'PEER') change.FIREFLYWICK_PEER_ADDRESS = address;
      const gateway = await startGateway(change);
      await sleep(TAKEN_MS);
      expect(gateway.isRunning).toBe(true);
      server.close();
      const readiness = name === 'READY' ? address : gateway.readinessAddress;
      await waitUntil(async () => (await getStatus(`http://${readiness}/-/ready`)) === 200);
      if (name === 'METRICS')
        await waitUntil(async () => (await getStatus(`http://${address}/metrics`)) === 200);
    },
  );

  // Guards against hosts that serve nothing because nobody can read their metrics.
  it('serves requests while that of its metrics stays in use', async () => {
    const { port } = await takePort();
    const gateway = await startGateway({ FIREFLYWICK_METRICS_LISTEN: `127.0.0.1:${port}` });
    await waitUntil(async () => (await gateway.getReadyStatus()) === 200);
    expect(gateway.hasLogged('address is taken')).toBe(true);
    gateway.signal('SIGTERM');
    expect(await gateway.waitForExit()).toBe(0);
  });
});

async function getStatus(url: string): Promise<number> {
  try {
    return (await fetch(url)).status;
  } catch {
    return 0;
  }
}
