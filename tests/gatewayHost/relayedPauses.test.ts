import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { EndpointLinks, getSourceAddress } from '../helpers/endpointLinks.ts';
import { waitUntil } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

const PAUSE_S = 4;
/** Time within which a relay and the hosts behind it must know what an answer to one of them said. */
const TOLD_MS = 500;
const INTERVAL_MS = 40;
/** Requests that arrive at once at the host that was not told. */
const TOGETHER = 20;

/** Sends actions to a host for some ms. */
async function sendFor(deployment: GatewayDeployment, host: number, ms: number): Promise<void> {
  const sent = [];
  for (let index = 0; index < Math.floor(ms / INTERVAL_MS); index++) {
    sent.push(deployment.send({ path: '/booking/1', body: `[${index}]` }, host));
    await sleep(INTERVAL_MS);
  }
  await Promise.all(sent);
}

// Guards against requests that reach an endpoint from a host after it asked that host for a pause.
describe('an endpoint that asked for a pause gets nothing through the host that it asked', () => {
  it.each([
    ['from the relay, told to a host behind it', 0, 1],
    ['from a host behind the relay, told to the relay', 1, 0],
  ])('%s', async (_name, told, other) => {
    const deployment = await GatewayDeployment.create();
    deployment.configure(1);
    const links = EndpointLinks.create(deployment);
    const paused = await links.addEndpoint('desk', 'e0');
    for (let host = 0; host < 2; host++)
      await deployment.addHost({ 'source-address': getSourceAddress(host) });
    await deployment.waitReady(1);
    await links.cut(0, 'reset');
    // Both hosts have open connections to the endpoint then, of which those of host 0 are relayed.
    await Promise.all([sendFor(deployment, 0, 2_500), sendFor(deployment, 1, 2_500)]);
    const before = paused.calls.length;
    expect(before).toBeGreaterThan(0);
    paused.retryAfter = [String(PAUSE_S)];
    const sending = sendFor(deployment, told, 1_000);
    await waitUntil(() => paused.calls.length > before);
    const toldAt = performance.now();
    await sending;
    const together = Array.from({ length: TOGETHER }, (_, index) =>
      deployment.send({ path: '/booking/1', body: `[${index},0]` }, other),
    );
    await Promise.all(together);
    const late = paused.calls.filter(({ arrivedAt }) => arrivedAt >= toldAt + TOLD_MS);
    expect(late.length).toBeLessThanOrEqual(2);
  });
});
