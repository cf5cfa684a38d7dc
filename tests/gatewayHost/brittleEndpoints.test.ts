import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { BrittleEndpoint } from '../helpers/brittleEndpoint.ts';
import { startStandIn } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

const ENDPOINTS = 2;
const PER_S = 110;
const DURATION_MS = 12_000;
/** Requests that the endpoints can serve in the time: four at once for 100 ms each. */
const SERVABLE = ENDPOINTS * 40 * (DURATION_MS / 1_000);
/** Falls that are allowed: two, and a tenth of the endpoints. */
const MAX_FALLS = 2 + ENDPOINTS / 10;
const WARM_UP_REQUESTS = 20;

async function start(hosts: number, maxRefusalsPerS: number) {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1);
  const endpoints = Array.from({ length: ENDPOINTS }, () =>
    BrittleEndpoint.create(maxRefusalsPerS),
  );
  for (const [index, endpoint] of endpoints.entries())
    deployment.register('desk', `e${index}`, await startStandIn(endpoint));
  for (let host = 0; host < hosts; host++) await deployment.addHost();
  await deployment.waitReady(ENDPOINTS);
  return { deployment, endpoints };
}

// Guards against endpoints that stop because the hosts together send more than they have room for.
describe('endpoints that say that they are brittle do not fall over again and again', () => {
  it.each([
    [1, 2],
    [1, 5],
    [3, 2],
    [3, 5],
  ])('%d hosts, %d refusals a second', async (hosts, maxRefusalsPerS) => {
    const { deployment, endpoints } = await start(hosts, maxRefusalsPerS);
    const send = (index: number) => deployment.send({ path: '/status/1' }, index % hosts);
    await Promise.all(Array.from({ length: WARM_UP_REQUESTS }, (_, index) => send(index)));
    for (const endpoint of endpoints) endpoint.becomeBrittle();
    const sent: ReturnType<typeof send>[] = [];
    const startedAt = performance.now();
    for (let elapsed = 0; elapsed < DURATION_MS; elapsed = performance.now() - startedAt) {
      while (sent.length < (elapsed * PER_S) / 1_000) sent.push(send(sent.length));
      await sleep(5);
    }
    const answers = await Promise.all(sent);
    const falls = endpoints.reduce((sum, endpoint) => sum + endpoint.falls, 0);
    expect(falls).toBeLessThanOrEqual(MAX_FALLS);
    const served = answers.filter(({ status }) => status === 200).length;
    expect(served).toBeGreaterThanOrEqual(0.8 * SERVABLE);
    const statuses = new Set(answers.map(({ status }) => status));
    expect([...statuses].filter((status) => status !== 200 && status !== 503)).toEqual([]);
  });
});
