import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { GatewayDeployment } from '../gatewayHost/deployment.ts';
import { getCallerKey } from '../helpers/callers.ts';
import {
  type CallerAttempt,
  DepartingCaller,
  type Departure,
  measureCapacity,
  sendAtRate,
  sendOnce,
} from '../helpers/departingCallers.ts';
import { Deployment } from '../helpers/deployment.ts';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { getFirmAdapters, SINGLE_HOST } from '../helpers/layouts.ts';
import { ProcessThrottle } from '../helpers/processThrottle.ts';
import { getRawHead, RawEndpoint, type RawRequest } from '../helpers/rawEndpoint.ts';
import { cleanUpAfterTest, startStandIn, waitUntil } from '../support.ts';

/** Time after the departure of a caller from which its request must not reach an endpoint. */
const GRACE_MS = 500;
/** Requests of departed callers that may reach endpoints all the same. */
const MAX_DEAD_REQUESTS = 3;
/** Time for which callers wait before they leave. */
const WAIT_MS = 250;
const SUSPENSION_MS = 1_300;
const CALLERS = 40;

interface Gateway {
  process: GatewayProcess;
  port: number;
  endpoints: RawEndpoint[];
}

/** Starts a gateway in front of two endpoints that answer after `workMs`. */
async function startGateway(workMs = 0): Promise<Gateway> {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1, { limits: { bodyBytes: 100_000 } });
  const endpoints = ['d1', 'd2'].map(() =>
    RawEndpoint.create((request) => [workMs, `${getRawHead(request, 'content-length: 2')}ok`]),
  );
  for (const [index, endpoint] of endpoints.entries())
    deployment.register('desk', `d${index + 1}`, await startStandIn(endpoint));
  const process = await GatewayProcess.start('h0', deployment.storeAddress);
  cleanUpAfterTest(() => process.kill());
  await waitUntil(async () => (await process.getReadyStatus()) === 200);
  const port = Number(process.frontAddress.split(':')[1]);
  await waitUntil(async () => {
    const attempt = await sendOnce(port, { id: 'first', path: '/booking/1', waitMs: 5_000 });
    return attempt.status === 200;
  });
  return { process, port, endpoints };
}

/** Returns the requests that reached an endpoint later than `GRACE_MS` after their caller had left. */
function getDeadRequests({ endpoints }: Gateway, attempts: readonly CallerAttempt[]): string[] {
  const leftAt = new Map(attempts.filter(({ hasLeft }) => hasLeft).map((a) => [a.id, a.endedAt]));
  return endpoints.flatMap(({ requests }) =>
    requests
      .filter(({ headers, arrivedAt }) => {
        const at = leftAt.get(headers['attempt-id'] ?? '');
        return at !== undefined && arrivedAt > at + GRACE_MS;
      })
      .map(({ headers }) => headers['attempt-id'] ?? ''),
  );
}

// Guards against requests that a late host passes on although their callers have left.
describe('a host that was suspended passes on no requests of callers that have left', () => {
  const CASES: [string, Departure, boolean, number][] = [
    ['new connections closed by a FIN', 'fin', false, 0],
    ['kept connections closed by a FIN', 'fin', true, 0],
    ['new connections with a body closed by a FIN', 'fin', false, 60_000],
    ['kept connections with a body closed by a FIN', 'fin', true, 60_000],
    ['new connections closed by a reset', 'reset', false, 0],
    ['kept connections closed by a reset', 'reset', true, 0],
  ];

  it.each(CASES)('%s', async (_name, departure, isKept, bodyBytes) => {
    const gateway = await startGateway();
    const { port } = gateway;
    const callers = Array.from({ length: CALLERS }, () => DepartingCaller.create(port));
    const body = 'x'.repeat(bodyBytes);
    if (isKept) {
      const path = '/booking/1';
      await Promise.all(
        callers.map((caller, index) => caller.send({ id: `warm-${index}`, path, waitMs: 5_000 })),
      );
    }
    gateway.process.signal('SIGSTOP');
    const leaving = callers.map((caller, index) =>
      caller.send({ id: `left-${index}`, path: '/booking/1', waitMs: WAIT_MS, body, departure }),
    );
    const staying = Array.from({ length: CALLERS }, (_, index) =>
      sendOnce(port, { id: `stayed-${index}`, path: '/booking/1', waitMs: 5_000, body }),
    );
    await sleep(SUSPENSION_MS);
    gateway.process.signal('SIGCONT');
    const left = await Promise.all(leaving);
    const stayed = await Promise.all(staying);
    await sleep(GRACE_MS);
    expect(left.filter(({ hasLeft }) => hasLeft)).toHaveLength(CALLERS);
    expect(getDeadRequests(gateway, left).length).toBeLessThanOrEqual(MAX_DEAD_REQUESTS);
    expect(stayed.map(({ status }) => status)).toEqual(Array(CALLERS).fill(200));
  });
});

// Guards against endpoints that work on for callers that have left a late host.
it('a host that was suspended cancels at once what its departed callers asked for', async () => {
  const gateway = await startGateway(2_500);
  const headers = { 'deadline-ms': '5000' };
  const waitMs = 1_500;
  const leaving = Array.from({ length: CALLERS }, (_, index) =>
    sendOnce(gateway.port, { id: `left-${index}`, path: '/booking/1', waitMs, headers }),
  );
  const getRequests = (): RawRequest[] =>
    gateway.endpoints
      .flatMap(({ requests }) => requests)
      .filter((request) => request.headers['attempt-id']?.startsWith('left-') === true);
  await waitUntil(() => getRequests().length === CALLERS);
  gateway.process.signal('SIGSTOP');
  const left = await Promise.all(leaving);
  expect(left.every(({ hasLeft }) => hasLeft)).toBe(true);
  const resumedAt = performance.now();
  gateway.process.signal('SIGCONT');
  await sleep(2 * GRACE_MS);
  const late = getRequests().filter(({ closedAt = Infinity }) => closedAt > resumedAt + GRACE_MS);
  expect(late).toEqual([]);
});

// Guards against a host that is asked for more than it can do and serves what nobody waits for any more.
describe('a host with a fifth of a core serves callers that still wait', () => {
  const OVERLOAD_WAIT_MS = 600;
  /** Part of what the host can do that it must serve while it is asked for more. */
  const MIN_SERVED_SHARE = 0.5;

  it.each([1.5, 3])('when it is asked for %d times what it can do', async (load) => {
    const gateway = await startGateway();
    const throttle = ProcessThrottle.create(gateway.process.pid, { runMs: 10, periodMs: 50 });
    cleanUpAfterTest(() => throttle.stop());
    const { port } = gateway;
    const capacityPerS = await measureCapacity(port, { callers: 8, durationMs: 4_000 });
    const durationMs = 6_000;
    const perS = load * capacityPerS;
    const attempts = await sendAtRate(port, { perS, durationMs, waitMs: OVERLOAD_WAIT_MS });
    await sleep(4 * GRACE_MS);
    const served = attempts.filter(({ status }) => status === 200).length;
    const dead = getDeadRequests(gateway, attempts);
    expect(dead.length).toBeLessThanOrEqual(MAX_DEAD_REQUESTS);
    expect(served).toBeGreaterThan(MIN_SERVED_SHARE * capacityPerS * (durationMs / 1_000));
  });
});

// Guards against the same at entry hosts, for completions and for calls that may be repeated.
describe('an entry host that was suspended passes on no requests of callers that have left', () => {
  const [adapter = ''] = getFirmAdapters('atlas');
  const body = JSON.stringify({ model: adapter, prompt: 'green tea', max_tokens: 4 });
  const CASES: [string, { method: string; path: string; body: string }][] = [
    ['completions', { method: 'POST', path: '/v1/completions', body }],
    ['calls of a service', { method: 'GET', path: '/services/desk/hours', body: '' }],
  ];

  it.each(CASES)('%s', async (_name, call) => {
    const deployment = await Deployment.start(SINGLE_HOST);
    const [host] = deployment.runningHosts;
    if (host === undefined) throw new Error('no host of the deployment is running');
    const [ip = '', port = ''] = host.callerAddress.split(':');
    const headers = {
      authorization: `Bearer ${getCallerKey('atlas')}`,
      'content-type': 'application/json',
    };
    const send = (id: string, waitMs: number): Promise<CallerAttempt> =>
      DepartingCaller.create(Number(port), ip).send({
        ...call,
        id,
        waitMs,
        headers: { ...headers, 'x-request-deadline-ms': String(waitMs) },
      });
    expect((await send('first', 5_000)).status).toBe(200);
    host.pause();
    const leaving = Array.from({ length: CALLERS }, (_, index) => send(`left-${index}`, WAIT_MS));
    await sleep(SUSPENSION_MS);
    const resumedAt = performance.now();
    host.resume();
    const left = await Promise.all(leaving);
    await sleep(2 * GRACE_MS);
    expect(left.filter(({ hasLeft }) => hasLeft)).toHaveLength(CALLERS);
    const { engines, endpoints } = deployment.platform;
    const calls = [
      ...engines.flatMap(({ standIn }) => standIn.records.runs),
      ...endpoints.flatMap(({ standIn }) => standIn.records),
    ];
    const dead = calls.filter(({ arrivedAt }) => arrivedAt >= resumedAt);
    expect(dead.length).toBeLessThanOrEqual(MAX_DEAD_REQUESTS);
    expect((await send('last', 5_000)).status).toBe(200);
  });
});
