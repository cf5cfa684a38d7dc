import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { Random } from '../../src/base/random.ts';
import { GatewayDeployment, HOST } from '../gatewayHost/deployment.ts';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { getRawHead, RawEndpoint } from '../helpers/rawEndpoint.ts';
import { cleanUpAfterTest, startStandIn, waitUntil } from '../support.ts';

const CALLERS = 20;
const WARM_UP_MS = 1_000;

/** How a request ended: its status, or 0 if its connection ended without an answer. */
interface Result {
  attempt: string;
  status: number;
}

/** Sends requests one after the other on a connection that it keeps, until the host refuses connections. */
async function runCaller(caller: number, port: number, results: Result[]): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let count = 0; ; count++) {
    const attempt = `c${caller}-${count}`;
    const result = await sendBooking(agent, port, attempt);
    if (result === undefined) break;
    results.push({ attempt, status: result });
    if (result === 503) await sleep(100);
  }
  agent.destroy();
}

/** Returns the status, 0 if the connection ended without an answer, undefined if it was refused. */
function sendBooking(agent: Agent, port: number, attempt: string): Promise<number | undefined> {
  return new Promise((resolve) => {
    const headers = {
      host: HOST,
      'attempt-id': attempt,
      'deadline-ms': '12000',
      'content-length': 0,
    };
    const call = httpRequest(
      { host: '127.0.0.1', port, path: '/booking/1', method: 'POST', agent, headers },
      (response) => {
        response.on('data', () => undefined);
        response.on('end', () => resolve(response.statusCode));
        response.on('error', () => resolve(0));
      },
    );
    call.on('error', (error: NodeJS.ErrnoException) =>
      resolve(error.code === 'ECONNREFUSED' ? undefined : 0),
    );
    call.end();
  });
}

// Guards against requests that a stopping host takes late in its grace period and then cuts off.
describe('a host that stops answers each request that it has passed on', () => {
  it.each([
    ['1500ms', 100, 900],
    ['3s', 300, 2_000],
    ['3s', 300, 6_500],
    ['8s', 300, 2_000],
  ])('with a grace period of %s and requests of %d to %d ms', async (grace, minMs, maxMs) => {
    const deployment = await GatewayDeployment.create();
    deployment.configure(1, {
      routes: [
        {
          name: 'booking',
          host: HOST,
          pathPrefix: '/booking/',
          kind: 'unsafe',
          service: 'desk',
          timeoutMs: 12_000,
          goalLatencyMs: 1_000,
          priority: 1,
          attempts: 1,
          resumable: false,
        },
      ],
    });
    const random = Random.create(maxMs);
    const endpoint = RawEndpoint.create((request) => [
      minMs + (maxMs - minMs) * random.getFraction() ** 3,
      `${getRawHead(request, 'content-length: 2')}ok`,
    ]);
    deployment.register('desk', 'd1', await startStandIn(endpoint));
    const gateway = await GatewayProcess.start('h0', deployment.storeAddress, {
      FIREFLYWICK_SHUTDOWN_GRACE: grace,
      FIREFLYWICK_LAME_DUCK: '2500ms',
    });
    cleanUpAfterTest(() => gateway.kill());
    await waitUntil(async () => (await gateway.getReadyStatus()) === 200);
    const results: Result[] = [];
    const port = Number(gateway.frontAddress.split(':')[1]);
    const callers = Array.from({ length: CALLERS }, (_, caller) =>
      runCaller(caller, port, results),
    );
    await sleep(WARM_UP_MS);
    gateway.signal('SIGTERM');
    expect(await gateway.waitForExit()).toBe(0);
    await Promise.all(callers);
    const ran = new Set(endpoint.requests.map(({ headers }) => headers['attempt-id']));
    const cut = results.filter(({ attempt, status }) => status === 0 && ran.has(attempt));
    expect(cut).toEqual([]);
    const denied = results.filter(({ attempt, status }) => status === 503 && ran.has(attempt));
    expect(denied).toEqual([]);
  });
});
