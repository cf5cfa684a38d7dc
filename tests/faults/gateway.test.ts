import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { PlatformEndpoint } from '../../stand-ins/platform/platformEndpoint.ts';
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
    const areMembers = (): boolean => {
      const row = deployment.store.get('fireflywick', 'members') as
        { members: unknown[] } | undefined;
      return row?.members.length === 2;
    };
    await waitUntil(areMembers);
    const owner = first.hasLogged('engine is owned') ? first : second;
    const other = owner === first ? 1 : 0;
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
