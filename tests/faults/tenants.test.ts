import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';
import { GatewayDeployment } from '../gatewayHost/deployment.ts';

const SCHOOL = { name: 'school', apiKeys: ['key1', 'key2'], unit: 'requests' };
const RATE_PER_S = 20;
const BURST = 10;

/** Starts hosts as processes in front of one endpoint, with a tenant. */
async function startHosts(count: number, tenant: object, settings: Record<string, string> = {}) {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1, { tenants: [tenant] });
  const endpoint = await deployment.addServer('desk', 'desk1');
  const hosts: GatewayProcess[] = [];
  for (let index = 0; index < count; index++) {
    const host = await GatewayProcess.start(`h${index}`, deployment.storeAddress, settings);
    cleanUpAfterTest(() => host.kill());
    deployment.fronts.push(host.frontAddress);
    hosts.push(host);
  }
  for (const host of hosts) await waitUntil(async () => (await host.getReadyStatus()) === 200);
  if (count > 1)
    await waitUntil(() => hosts.every((host) => host.countLogged('link opened') >= count - 1));
  const send = async (authorization?: string, host = 0, path = '/status/1') => {
    const headers: Record<string, string> =
      authorization === undefined ? {} : { authorization, tenant: 'forged' };
    return (await deployment.send({ path, method: 'GET', headers }, host)).status;
  };
  return { deployment, endpoint, hosts, send };
}

// Guards against engines that learn keys, and requests that run without one.
describe('a key', () => {
  it('is turned into its tenant before anything else sees it', async () => {
    const { deployment, endpoint, send, hosts } = await startHosts(2, SCHOOL, {
      FIREFLYWICK_LOG_LEVEL: 'debug',
    });
    expect(await send('Bearer key1')).toBe(200);
    expect(await send('Bearer key1', 0, '/open/1')).toBe(200);
    for (const wrong of ['Bearer key', 'Bearer key12', 'Basic key1', 'Bearer', undefined])
      expect(await send(wrong)).toBe(401);
    const [keyed, open, ...others] = endpoint.calls.filter(({ target }) => target !== '/health');
    expect(others).toEqual([]);
    expect(keyed?.headers).toMatchObject({ tenant: 'school' });
    expect(open?.headers.tenant).toBeUndefined();
    for (const call of [keyed, open]) expect(call?.headers.authorization).toBeUndefined();
    const metrics = await (await fetch(`http://${hosts[0]?.metricsAddress}/metrics`)).text();
    const rows = [...deployment.store.copy().rows.values()].filter(({ table }) => table !== 'op');
    expect(rows.length).toBeGreaterThan(0);
    const written = rows.map(({ value = '' }) => Buffer.from(value, 'base64').toString());
    for (const text of [JSON.stringify(hosts.map(({ log }) => log)), metrics, ...written])
      expect(text).not.toMatch(/key[12]/);
  });

  it('stops when it is removed, and the others go on', async () => {
    const { deployment, send } = await startHosts(1, SCHOOL);
    expect(await send('Bearer key1')).toBe(200);
    deployment.configure(2, { tenants: [{ ...SCHOOL, apiKeys: ['key2'] }] });
    await waitUntil(async () => (await send('Bearer key1')) === 401);
    expect(await send('Bearer key2')).toBe(200);
  });

  // Guards against a key that was removed while the store was away, and runs on.
  it('stops while the store is away, where the deployment fails closed', async () => {
    const { deployment, send } = await startHosts(1, SCHOOL, { FIREFLYWICK_MAX_KEY_AGE: '2s' });
    expect(await send('Bearer key1')).toBe(200);
    deployment.store.setFaults({ down: true });
    await waitUntil(async () => (await send('Bearer key1')) === 503);
    expect(await send(undefined, 0, '/open/1')).toBe(200);
    deployment.configure(2, { tenants: [{ ...SCHOOL, apiKeys: ['key2'] }] });
    deployment.store.setFaults({ down: false });
    await waitUntil(async () => (await send('Bearer key2')) === 200);
    expect(await send('Bearer key1')).toBe(401);
  });
});

/** Sends requests to hosts in turn for `ms`, and returns how many ran. */
async function runLoad(
  send: (authorization: string, host: number) => Promise<number>,
  hosts: number[],
  ms: number,
): Promise<number> {
  const until = performance.now() + ms;
  let served = 0;
  const pending: Promise<void>[] = [];
  for (let sent = 0; performance.now() < until; sent++) {
    const host = hosts[sent % hosts.length] ?? 0;
    pending.push(
      send('Bearer key1', host).then((status) => {
        if (status === 200) served += 1;
        else expect(status).toBe(429);
      }),
    );
    await sleep(8);
  }
  await Promise.all(pending);
  return served;
}

// Guards against limits that each host applies by itself, or that end with the host that counts.
describe('the quota of a tenant with three hosts', () => {
  const tenant = { ...SCHOOL, ratePerS: RATE_PER_S, burst: BURST };
  const getMost = (ms: number): number => ((RATE_PER_S * ms) / 1_000 + BURST) * 1.1;

  it.each<[string, number[]]>([
    ['evenly', [0, 1, 2]],
    ['at one host', [1]],
  ])('holds for callers that come %s', async (_name, used) => {
    const { send } = await startHosts(3, tenant);
    const startedAt = performance.now();
    const served = await runLoad(send, used, 4_000);
    const ms = performance.now() - startedAt;
    expect(served).toBeLessThanOrEqual(getMost(ms));
    expect(served).toBeGreaterThanOrEqual(0.9 * RATE_PER_S * 4);
  });

  it('holds after the host that counts was killed', async () => {
    const { send, hosts } = await startHosts(3, tenant);
    await runLoad(send, [0, 1, 2], 1_000);
    const startedAt = performance.now();
    hosts[0]?.signal('SIGKILL');
    const served = await runLoad(send, [1, 2], 4_000);
    expect(served).toBeLessThanOrEqual(getMost(performance.now() - startedAt));
    expect(served).toBeGreaterThan(0);
  });

  it('holds when it is lowered while the store is slow', async () => {
    const { deployment, send } = await startHosts(3, tenant);
    await runLoad(send, [0, 1, 2], 1_000);
    deployment.store.setFaults({ slowMs: 300 });
    deployment.configure(2, { tenants: [{ ...tenant, ratePerS: 5, burst: 2 }] });
    await runLoad(send, [0, 1, 2], 3_000);
    const startedAt = performance.now();
    const served = await runLoad(send, [0, 1, 2], 4_000);
    const seconds = (performance.now() - startedAt) / 1_000;
    expect(served).toBeLessThanOrEqual((5 * seconds + 2) * 1.1);
  });
});
