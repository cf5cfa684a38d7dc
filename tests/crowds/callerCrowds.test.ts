import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, expect, it } from 'vitest';
import { GatewayDeployment } from '../gatewayHost/deployment.ts';
import {
  type Crowd,
  dripBody,
  readNothing,
  runCrowd,
  sendAhead,
  sendBody,
  sendChunks,
  sendFields,
} from '../helpers/callerCrowds.ts';
import { NODE_FLAGS, observeCrowd } from '../helpers/crowdObservation.ts';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { getPeakMb } from '../helpers/processMemory.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

/** Memory and descriptors of the host's machine; a host at rest takes about 100 MB. */
const MEMORY_MB = 160;
const DESCRIPTORS = 300;
/** Descriptors that connections of callers may take, with those that a host at rest has open. */
const MAX_OPEN_DESCRIPTORS = 160;
/** Limit of the operator on the body of a request. */
const BODY_BYTES = 1_000_000;
/** Bytes of an answer that is large. */
const ANSWER_BYTES = 1_000_000;

type Listener = 'front' | 'ready' | 'metrics';

const CROWDS: [string, Listener, Crowd][] = [
  ['bodies that stop short', 'front', { callers: 60, run: sendBody('/booking/1', BODY_BYTES) }],
  ['bodies without a route', 'front', { callers: 60, run: sendBody('/none/1', BODY_BYTES) }],
  [
    'bodies in chunks that stop short',
    'front',
    { callers: 60, run: sendChunks('/booking/1', BODY_BYTES - 10_000, 8_000) },
  ],
  [
    'bodies in chunks of one byte',
    'front',
    { callers: 30, run: sendChunks('/booking/1', 300_000, 1) },
  ],
  [
    'bodies far over the limit, with their length',
    'front',
    { callers: 60, run: sendBody('/booking/1', 20 * BODY_BYTES) },
  ],
  [
    'bodies far over the limit, in chunks',
    'front',
    { callers: 60, run: sendChunks('/booking/1', 20 * BODY_BYTES, 8_000) },
  ],
  ['requests sent ahead', 'front', { callers: 30, run: sendAhead('/status/1', 10_000) }],
  [
    'requests sent ahead without a route',
    'front',
    { callers: 30, run: sendAhead('/none/1', 10_000) },
  ],
  ['large answers that are not read', 'front', { callers: 90, run: readNothing('/status/large') }],
  [
    'bodies that go on byte by byte',
    'front',
    { callers: 90, run: dripBody('/booking/1', BODY_BYTES, 800_000) },
  ],
  ['heads of many fields', 'front', { callers: 300, run: sendFields('/status/1', 1_900) }],
  ['bodies at the readiness check', 'ready', { callers: 300, run: sendBody('/-/ready', 60_000) }],
  [
    'bodies without a route at the readiness check',
    'ready',
    { callers: 300, run: sendBody('/none', 60_000) },
  ],
  ['bodies at the metrics', 'metrics', { callers: 300, run: sendBody('/metrics', 60_000) }],
  ['metrics that are not read', 'metrics', { callers: 300, run: readNothing('/metrics') }],
];

/** Starts an endpoint whose answers to `/status/large` are large. */
async function startLargeEndpoint(): Promise<string> {
  const large = Buffer.alloc(ANSWER_BYTES, 'y');
  const server = createServer((request, response) => {
    const attempt = request.headers['attempt-id'] ?? '';
    const headers = { 'attempt-id': attempt, 'response-seal': 's' };
    request.resume();
    request.on('end', () =>
      response.writeHead(200, headers).end(request.url === '/status/large' ? large : 'ok'),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanUpAfterTest(async () => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against callers that end a process, or keep it from all others.
describe('a gateway outlives a crowd of', () => {
  it.each(CROWDS)('%s', async (_name, listener, crowd) => {
    const deployment = await GatewayDeployment.create();
    deployment.configure(1, { limits: { bodyBytes: BODY_BYTES, headerBytes: 32_768 } });
    deployment.register('desk', 'desk1', await startLargeEndpoint());
    const gateway = await GatewayProcess.start(
      'h0',
      deployment.storeAddress,
      {
        FIREFLYWICK_LOG_LEVEL: 'error',
        FIREFLYWICK_MEMORY: String(MEMORY_MB),
        FIREFLYWICK_DESCRIPTORS: String(DESCRIPTORS),
      },
      NODE_FLAGS,
    );
    cleanUpAfterTest(() => gateway.kill());
    deployment.fronts.push(gateway.frontAddress);
    await waitUntil(async () => (await gateway.getReadyStatus()) === 200);
    const send = async () => (await deployment.send({ path: '/status/1', method: 'GET' })).status;
    expect(await send()).toBe(200);
    const addresses = {
      front: gateway.frontAddress,
      ready: gateway.readinessAddress,
      metrics: gateway.metricsAddress,
    };
    const crowded = runCrowd(addresses[listener], crowd);
    const { openDescriptors, statuses } = await observeCrowd(crowded, gateway.pid, send);
    expect(gateway.isRunning).toBe(true);
    expect(statuses).toContain(200);
    expect(openDescriptors).toBeLessThanOrEqual(MAX_OPEN_DESCRIPTORS);
    expect(getPeakMb(gateway.pid)).toBeLessThanOrEqual(MEMORY_MB);
  });
});
