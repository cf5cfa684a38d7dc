import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { GatewayDeployment } from '../gatewayHost/deployment.ts';
import { startFlood } from '../helpers/floodingProcess.ts';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { getPeakMb } from '../helpers/processMemory.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

/** Memory of a machine of the users' sites. */
const MAX_PEAK_MB = 350;
/** Time after which callers give up on a host that has not read their request. */
const MAX_SOUND_MS = 1_000;
/** Time limit of the routes, and the time after it in which a request must have its answer. */
const MAX_ANSWER_MS = 3_500;
const SOUND_INTERVAL_MS = 20;

// Guards against one endpoint that takes the memory or the processor time of all others' requests.
describe('an endpoint that sends bytes without end does not cost requests to others', () => {
  it.each<[string, string, 'desk' | 'llm', number]>([
    ['a body in large chunks', 'chunks', 'desk', 100],
    ['a body in tiny chunks', 'tinyChunks', 'desk', 16],
    ['an event in tiny chunks', 'tinyChunks', 'llm', 16],
    ['short headers', 'headers', 'desk', 40],
    ['short headers of a stream', 'headers', 'llm', 40],
    ['short trailers', 'trailers', 'desk', 40],
    ['interim responses', 'interim', 'desk', 16],
  ])('%s', async (_name, kind, service, requests) => {
    const deployment = await GatewayDeployment.create();
    deployment.configure(1);
    const soundService = service === 'desk' ? 'llm' : 'desk';
    await deployment.addServer(soundService, 'sound', { events: 1, slots: 50 });
    deployment.register(service, 'flood', await startFlood(kind), { slots: 50 });
    const gateway = await GatewayProcess.start('h0', deployment.storeAddress, {
      FIREFLYWICK_LOG_LEVEL: 'error',
    });
    cleanUpAfterTest(() => gateway.kill());
    deployment.fronts.push(gateway.frontAddress);
    await waitUntil(async () => (await gateway.getReadyStatus()) === 200);
    const send = (to: string) =>
      to === 'desk'
        ? deployment.send({ path: '/booking/1' })
        : deployment.stream('/labels/1', undefined);
    expect((await send(soundService)).status).toBe(200);
    const flood = { isOver: false };
    const answered = Array.from({ length: requests }, async () => {
      const startedAt = performance.now();
      const answer = await send(service);
      return { status: answer.status, ms: performance.now() - startedAt };
    });
    const flooded = Promise.all(answered).finally(() => (flood.isOver = true));
    const sound: { status: number; ms: number }[] = [];
    while (!flood.isOver) {
      const startedAt = performance.now();
      const { status } = await send(soundService);
      sound.push({ status, ms: performance.now() - startedAt });
      await sleep(SOUND_INTERVAL_MS);
    }
    for (const { status, ms } of await flooded) {
      expect(status).toBeGreaterThanOrEqual(500);
      expect(ms).toBeLessThan(MAX_ANSWER_MS);
    }
    expect(sound.filter(({ status }) => status !== 200)).toEqual([]);
    expect(Math.max(...sound.map(({ ms }) => ms))).toBeLessThan(MAX_SOUND_MS);
    expect(getPeakMb(gateway.pid)).toBeLessThan(MAX_PEAK_MB);
  });
});
