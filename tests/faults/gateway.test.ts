import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { PlatformEndpoint } from '../../stand-ins/platform/platformEndpoint.ts';
import { GatewayDeployment } from '../gatewayHost/deployment.ts';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { until } from '../support.ts';

describe('gateways as processes', () => {
  let deployment: GatewayDeployment;
  let engine: PlatformEndpoint;
  const gateways: GatewayProcess[] = [];

  async function start(id: string, change: Record<string, string> = {}): Promise<GatewayProcess> {
    const gateway = await GatewayProcess.start(id, deployment.storeAddress, change);
    gateways.push(gateway);
    deployment.fronts.push(gateway.front);
    return gateway;
  }

  beforeEach(async () => {
    deployment = await GatewayDeployment.create();
    await deployment.addServer('desk', 'd1');
    engine = await deployment.addServer('llm', 'e1', { events: 20, gapMs: 40 });
  });

  afterEach(async () => {
    await Promise.all(gateways.splice(0).map((gateway) => gateway.end()));
  });

  it('answers 503 and is not ready without a routing table, and is ready once there is one', async () => {
    const gateway = await start('h0');
    await until(() => gateway.hasLogged('host started'));
    expect(await gateway.getReadyStatus()).toBe(503);
    expect((await deployment.send({ path: '/status/1' })).status).toBe(503);
    deployment.configure(1);
    await until(async () => (await gateway.getReadyStatus()) === 200);
    expect((await deployment.send({ path: '/status/1' })).status).toBe(200);
    const metrics = await (await fetch(`http://${gateway.metrics}/metrics`)).text();
    expect(metrics).toContain('fireflywick_requests_total');
  });

  it('takes over changed settings, with SIGHUP and without, and keeps the old ones when they are wrong', async () => {
    deployment.configure(1);
    const gateway = await start('h0');
    await until(async () => (await gateway.getReadyStatus()) === 200);
    gateway.change({ FIREFLYWICK_LOG_LEVEL: 'debug' });
    gateway.signal('SIGHUP');
    await until(() => gateway.hasLogged('settings reloaded'));
    gateway.change({ FIREFLYWICK_LOG_LEVEL: 'loud' });
    await until(() => gateway.hasLogged('settings were not reloaded'));
    expect((await deployment.send({ path: '/status/1' })).status).toBe(200);
    expect(gateway.isRunning).toBe(true);
  });

  it('finishes what is in flight after SIGTERM and takes nothing new', async () => {
    deployment.configure(1);
    const gateway = await start('h0');
    await until(async () => (await gateway.getReadyStatus()) === 200);
    const stream = deployment.stream('/labels/1', undefined);
    await until(() => engine.calls.length > 0);
    gateway.signal('SIGTERM');
    await until(async () => (await gateway.getReadyStatus()) === 503);
    const answer = await stream;
    expect(answer).toMatchObject({ status: 200, error: undefined });
    expect(answer.body).toContain('id: 20');
    expect(await gateway.waitEnd()).toBe(0);
  });

  it('has adapters loaded by another host after the owner of their engine was killed', async () => {
    deployment.configure(1);
    const [first, second] = [await start('h0'), await start('h1')];
    const areMembers = (): boolean => {
      const row = deployment.store.get('fireflywick', 'members') as
        { members: unknown[] } | undefined;
      return row?.members.length === 2;
    };
    await until(areMembers);
    const owner = first.hasLogged('engine is owned') ? first : second;
    const other = owner === first ? 1 : 0;
    await until(async () => (await deployment.stream('/labels/1', 'a1', other)).status === 200);
    owner.signal('SIGKILL');
    await owner.waitEnd();
    await until(
      async () => (await deployment.stream('/labels/1', 'a9', other)).status === 200,
      30_000,
    );
    const holders = new Set(engine.orders.map(({ holder }) => holder));
    expect(holders.size).toBe(2);
    const fences = engine.orders.map(({ fence }) => fence);
    expect(fences).toEqual([...fences].sort((a, b) => a - b));
  });

  it('serves on while the store is down, and is not hurt when it comes back', async () => {
    deployment.configure(1);
    const gateway = await start('h0');
    await until(async () => (await gateway.getReadyStatus()) === 200);
    await deployment.stream('/labels/1', 'a1');
    deployment.store.setFaults({ down: true });
    await until(() => gateway.hasLogged('directory lost'));
    expect((await deployment.send({ path: '/status/1' })).status).toBe(200);
    expect((await deployment.stream('/labels/1', 'a2')).status).toBe(200);
    deployment.store.setFaults({ down: false });
    await until(() => gateway.hasLogged('directory regained'));
    expect((await deployment.send({ path: '/status/1' })).status).toBe(200);
  });
});
