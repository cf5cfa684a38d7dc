import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { PlatformEndpoint } from '../../stand-ins/platform/platformEndpoint.ts';
import type { MembersRow } from '../../src/owners/types.ts';
import { GatewayDeployment } from '../gatewayHost/deployment.ts';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { waitUntil } from '../support.ts';

describe('gateways as processes', () => {
  let deployment: GatewayDeployment;
  let engine: PlatformEndpoint;
  const gateways: GatewayProcess[] = [];

  async function start(id: string, change: Record<string, string> = {}): Promise<GatewayProcess> {
    const gateway = await GatewayProcess.start(id, deployment.storeAddress, change);
    gateways.push(gateway);
    deployment.fronts.push(gateway.frontAddress);
    return gateway;
  }

  function getMembers(): { host: string; isOwner: boolean }[] {
    const row = deployment.store.get('fireflywick', 'members');
    return (row as Pick<MembersRow, 'members'> | undefined)?.members ?? [];
  }

  beforeEach(async () => {
    deployment = await GatewayDeployment.create();
    await deployment.addServer('desk', 'd1');
    engine = await deployment.addServer('llm', 'e1', { events: 20, gapMs: 40 });
  });

  afterEach(async () => {
    await Promise.all(gateways.splice(0).map((gateway) => gateway.kill()));
  });

  it('answers 503 and is not ready without a routing table, and is ready once there is one', async () => {
    const gateway = await start('h0');
    await waitUntil(() => gateway.hasLogged('host started'));
    expect(await gateway.getReadyStatus()).toBe(503);
    expect((await deployment.send({ path: '/status/1' })).status).toBe(503);
    deployment.configure(1);
    await waitUntil(async () => (await gateway.getReadyStatus()) === 200);
    expect((await deployment.send({ path: '/status/1' })).status).toBe(200);
    const metrics = await (await fetch(`http://${gateway.metricsAddress}/metrics`)).text();
    expect(metrics).toContain('fireflywick_requests_total');
  });

  it('reloads changed settings, on SIGHUP or when the file changes, and keeps the old ones if they are invalid', async () => {
    deployment.configure(1);
    const gateway = await start('h0');
    await waitUntil(async () => (await gateway.getReadyStatus()) === 200);
    gateway.updateSettings({ FIREFLYWICK_LOG_LEVEL: 'debug' });
    gateway.signal('SIGHUP');
    await waitUntil(() => gateway.hasLogged('settings reloaded'));
    gateway.updateSettings({ FIREFLYWICK_LOG_LEVEL: 'loud' });
    await waitUntil(() => gateway.hasLogged('settings were not reloaded'));
    expect((await deployment.send({ path: '/status/1' })).status).toBe(200);
    expect(gateway.isRunning).toBe(true);
  });

  it('completes requests in flight after SIGTERM and is not ready for new ones', async () => {
    deployment.configure(1);
    const gateway = await start('h0');
    await waitUntil(async () => (await gateway.getReadyStatus()) === 200);
    const stream = deployment.stream('/labels/1', undefined);
    await waitUntil(() => engine.calls.length > 0);
    gateway.signal('SIGTERM');
    await waitUntil(async () => (await gateway.getReadyStatus()) === 503);
    const answer = await stream;
    expect(answer).toMatchObject({ status: 200, error: undefined });
    expect(answer.body).toContain('id: 20');
    expect(await gateway.waitForExit()).toBe(0);
  });

  it('loads adapters through another host after the owner of their engine was killed', async () => {
    deployment.configure(1);
    const [first, second] = [await start('h0'), await start('h1')];
    await waitUntil(() => getMembers().length === 2);
    const [owner, other] = getMembers().some(({ host, isOwner }) => isOwner && host === 'h0')
      ? [first, 1]
      : [second, 0];
    await waitUntil(async () => (await deployment.stream('/labels/1', 'a1', other)).status === 200);
    owner.signal('SIGKILL');
    await owner.waitForExit();
    await waitUntil(
      async () => (await deployment.stream('/labels/1', 'a9', other)).status === 200,
      30_000,
    );
    const holders = new Set(engine.orders.map(({ holder }) => holder));
    expect(holders.size).toBe(2);
    const fences = engine.orders.map(({ fence }) => fence);
    expect(fences).toEqual([...fences].sort((a, b) => a - b));
  });

  it('resumes a stream at its software version after the process that began it was killed', async () => {
    deployment.configure(1);
    const { address } = deployment.store.get('servers', 'e1') as { address: string };
    deployment.register('llm', 'e1', address, { version: 'v1', zone: 'z2' });
    const begun = [await start('h0'), await start('h1'), await start('h2')];
    await waitUntil(() => begun.every((gateway) => gateway.countLogged('link opened') >= 2));
    const received = deployment.stream('/notes/1', undefined);
    await waitUntil(() => engine.calls.length > 0);
    const attempt = engine.calls[0]?.headers['attempt-id'];
    const other = await deployment.addServer('llm', 'e2', { events: 20 });
    const entry = deployment.store.get('servers', 'e2') as { address: string };
    deployment.register('llm', 'e2', entry.address, { version: 'v2' });
    await sleep(400);
    begun[0]?.signal('SIGKILL');
    const { body, error } = await received;
    expect(error).toBeDefined();
    const lastEventId = /id: (\d+)\ndata: .*\n\n$/.exec(body)?.[1] ?? '';
    expect(lastEventId).not.toBe('');
    const headers = {
      model: 'base',
      'token-count': '100,10',
      'prompt-prefix': 'ab:100',
      resumes: String(attempt),
      'last-event-id': lastEventId,
    };
    const resumed = await deployment.send({ path: '/notes/1', headers, body: '{}' }, 1);
    expect(resumed).toMatchObject({ status: 200, error: undefined });
    expect(resumed.body).toContain('id: 20');
    expect(other.calls).toEqual([]);
  });

  it('serves requests while the directory store is down and after it has recovered', async () => {
    deployment.configure(1);
    const gateway = await start('h0');
    await waitUntil(async () => (await gateway.getReadyStatus()) === 200);
    await deployment.stream('/labels/1', 'a1');
    deployment.store.setFaults({ down: true });
    await waitUntil(() => gateway.hasLogged('directory lost'));
    expect((await deployment.send({ path: '/status/1' })).status).toBe(200);
    expect((await deployment.stream('/labels/1', 'a2')).status).toBe(200);
    deployment.store.setFaults({ down: false });
    await waitUntil(() => gateway.hasLogged('directory regained'));
    expect((await deployment.send({ path: '/status/1' })).status).toBe(200);
  });
});
