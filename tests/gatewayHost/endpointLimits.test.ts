import { setTimeout as sleep } from 'node:timers/promises';
import { beforeEach, describe, expect, it } from 'vitest';
import type { PlatformEndpoint } from '../../stand-ins/platform/platformEndpoint.ts';
import { GatewayDeployment } from './deployment.ts';

const LIMIT_PER_S = 2;
const WINDOW_MS = 4_000;
/** What the limit allows in a window, one and a half times, and five more. */
const ALLOWED = 1.5 * LIMIT_PER_S * (WINDOW_MS / 1_000) + 5;
const INTERVAL_MS = 40;

let deployment: GatewayDeployment;

async function start(hosts: number, service: 'desk' | 'llm'): Promise<PlatformEndpoint> {
  deployment = await GatewayDeployment.create();
  deployment.configure(1);
  const endpoint = await deployment.addServer(service, 'e1');
  for (let host = 0; host < hosts; host++) await deployment.addHost();
  await deployment.waitReady(1);
  return endpoint;
}

/** Sends requests to the hosts in turn for `ms`; returns their statuses. */
async function sendFor(ms: number, send: (host: number) => Promise<{ status: number }>) {
  const sent: Promise<{ status: number }>[] = [];
  for (let elapsed = 0; elapsed < ms; elapsed += INTERVAL_MS) {
    sent.push(send(sent.length % deployment.hosts.length));
    await sleep(INTERVAL_MS);
  }
  return (await Promise.all(sent)).map(({ status }) => status);
}

const SENDERS = {
  desk: (host: number) => deployment.send({ path: '/status/1' }, host),
  llm: (host: number) => deployment.stream('/labels/1', undefined, host),
};

describe('an endpoint that names a limit gets no more requests than that', () => {
  it.each<[string, number, 'desk' | 'llm']>([
    ['as a plain service behind one gateway', 1, 'desk'],
    ['as a plain service behind three gateways', 3, 'desk'],
    ['as an engine behind three gateways', 3, 'llm'],
  ])('%s', async (_name, hosts, service) => {
    const endpoint = await start(hosts, service);
    endpoint.namedLimits = [String(LIMIT_PER_S)];
    await sendFor(3_000, SENDERS[service]);
    const before = endpoint.calls.length;
    const statuses = await sendFor(WINDOW_MS, SENDERS[service]);
    const calls = endpoint.calls.length - before;
    expect(calls).toBeLessThanOrEqual(ALLOWED);
    expect(calls).toBeGreaterThanOrEqual(0.9 * LIMIT_PER_S * (WINDOW_MS / 1_000) - 1);
    expect(statuses.filter((status) => status === 200).length).toBeGreaterThanOrEqual(calls - 2);
  });
});

describe('an endpoint that names no valid limit gets all requests', () => {
  beforeEach(async () => {
    await start(1, 'desk');
  });

  it.each([[['']], [['-1']], [['few']], [['0x1']], [['1e0']], [['2', 'few']], [['0'.repeat(400)]]])(
    'with the values %j',
    async (values) => {
      const endpoint = await deployment.addServer('desk', 'e2');
      endpoint.namedLimits = values;
      const statuses = await sendFor(1_000, SENDERS.desk);
      expect(new Set(statuses)).toEqual(new Set([200]));
    },
  );
});
