import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import type { PlatformEndpoint } from '../../stand-ins/platform/platformEndpoint.ts';
import { newNotice } from '../helpers/notices.ts';
import { waitUntil } from '../support.ts';
import { type CallerResponse, GatewayDeployment } from './deployment.ts';

/** Connections that a host opens to an endpoint of the deployment. */
const CONNECTIONS = 50;
const INTERVAL_MS = 100;
/** Requests that are sent together, so that all endpoints get some. */
const TOGETHER = 12;
/** Time within which a host must know what an answer to it or to another host said. */
const TOLD_MS = 500;

type Service = 'desk' | 'llm';

async function start(hosts: number, service: Service, endpoints: number) {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1);
  const started: PlatformEndpoint[] = [];
  for (let index = 0; index < endpoints; index++)
    started.push(await deployment.addServer(service, `e${index}`));
  for (let host = 0; host < hosts; host++) await deployment.addHost();
  await deployment.waitReady(endpoints);
  return { deployment, endpoints: started };
}

const SENDERS: Record<
  Service,
  (deployment: GatewayDeployment, host: number) => Promise<CallerResponse>
> = {
  desk: (deployment, host) => deployment.send({ path: '/booking/1' }, host),
  llm: (deployment, host) => deployment.stream('/labels/1', undefined, host),
};

/** Sends requests to the hosts in turn for `ms`. */
async function sendFor(ms: number, deployment: GatewayDeployment, service: Service) {
  const sent: Promise<CallerResponse>[] = [];
  const until = performance.now() + ms;
  while (performance.now() < until) {
    for (let index = 0; index < TOGETHER; index++)
      sent.push(SENDERS[service](deployment, sent.length % deployment.hosts.length));
    await sleep(INTERVAL_MS);
  }
  return Promise.all(sent);
}

function countArrivals({ calls }: PlatformEndpoint, from: number, until = Infinity): number {
  return calls.filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < until).length;
}

const CASES: [string, number, Service][] = [
  ['a plain service behind one gateway', 1, 'desk'],
  ['a plain service behind three gateways', 3, 'desk'],
  ['an engine behind one gateway', 1, 'llm'],
  ['an engine behind three gateways', 3, 'llm'],
];

describe('an endpoint that says in its answers that it leaves gets no more requests', () => {
  it.each(CASES)('%s', async (_name, hosts, service) => {
    const { deployment, endpoints } = await start(hosts, service, 2);
    await sendFor(500, deployment, service);
    // The preferred endpoint leaves, so that a request reaches it soon.
    const [leaving, other] = endpoints.sort((a, b) => b.calls.length - a.calls.length);
    if (leaving === undefined || other === undefined) throw new Error('no endpoints');
    leaving.isLeaving = true;
    const from = performance.now();
    const answers = await sendFor(3_000, deployment, service);
    // Nobody knows before the first call that arrives from then on is answered.
    const calledAt = [...leaving.calls.map(({ arrivedAt }) => arrivedAt), ...leaving.reportedAt];
    const toldAt = Math.min(...calledAt.filter((at) => at >= from));
    expect(toldAt).toBeLessThan(from + 2_000);
    expect(countArrivals(leaving, toldAt + TOLD_MS)).toBe(0);
    expect(countArrivals(other, from + TOLD_MS)).toBeGreaterThan(50);
    expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([200]));
  });

  it('when only its answers to orders and reports say so', async () => {
    const { deployment, endpoints } = await start(1, 'llm', 2);
    for (const endpoint of endpoints) endpoint.isLeaving = true;
    // The load of the adapter that this request needs is the first call of the engine.
    const first = await deployment.stream('/labels/1', 'a1');
    expect(first.status).toBe(503);
    expect(endpoints.reduce((sum, { calls }) => sum + calls.length, 0)).toBe(0);
  });
});

describe('an endpoint that turns requests away for a time gets none within it', () => {
  const PAUSE_S = 3;
  it.each(CASES)('the only one of %s', async (_name, hosts, service) => {
    const { deployment, endpoints } = await start(hosts, service, 1);
    const [endpoint] = endpoints;
    if (endpoint === undefined) throw new Error('no endpoint');
    await sendFor(500, deployment, service);
    endpoint.retryAfter = [String(PAUSE_S)];
    const from = performance.now();
    const answers = await sendFor(PAUSE_S * 1_000 - 400, deployment, service);
    expect(countArrivals(endpoint, from + TOLD_MS, from + PAUSE_S * 1_000 - 400)).toBe(0);
    expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([503]));
    const returns = answers.map(({ headers }) => Number(headers['retry-after']));
    const { length } = answers;
    // Callers of the first half are told at least the half of the time that is left then.
    expect(Math.min(...returns.slice(0, length / 2))).toBeGreaterThanOrEqual(PAUSE_S / 2);
    endpoint.retryAfter = [];
    await sleep(600);
    const later = await sendFor(500, deployment, service);
    expect(new Set(later.map(({ status }) => status))).toEqual(new Set([200]));
  });

  it('nor orders and reports', async () => {
    const { deployment, endpoints } = await start(1, 'llm', 1);
    const [engine] = endpoints;
    if (engine === undefined) throw new Error('no engine');
    engine.retryAfter = ['3'];
    const from = performance.now();
    await deployment.stream('/labels/1', 'a1');
    await sleep(2_500 - (performance.now() - from));
    expect(engine.orders.length + engine.calls.length).toBe(1);
  });

  it.each<[string, string[]]>([
    ['zero', ['0']],
    ['text', ['later']],
    ['a negative number', ['-5']],
    ['an empty value', ['']],
  ])('but is not shut out by %s', async (_name, values) => {
    const { deployment, endpoints } = await start(1, 'desk', 1);
    const [endpoint] = endpoints;
    if (endpoint === undefined) throw new Error('no endpoint');
    endpoint.retryAfter = values;
    await sendFor(200, deployment, 'desk');
    endpoint.retryAfter = [];
    await sleep(100);
    const answer = await deployment.send({ path: '/booking/1' });
    expect(answer.status).toBe(200);
  });
});

it('a request that waits for a connection is not sent once its endpoint is known to leave', async () => {
  const { deployment, endpoints } = await start(1, 'desk', 1);
  const [endpoint] = endpoints;
  const [host] = deployment.hosts;
  if (endpoint === undefined || host === undefined) throw new Error('not started');
  endpoint.plannedBehaviours.push(...Array<'hang'>(CONNECTIONS).fill('hang'));
  const hanging = Array.from({ length: CONNECTIONS }, () =>
    deployment.send({ path: '/booking/slow', headers: { 'deadline-ms': '1200' } }),
  );
  await waitUntil(() => endpoint.calls.length === CONNECTIONS);
  const waiting = deployment.send({ path: '/booking/next' });
  await sleep(100);
  const notice = newNotice({ leaving: { type: 'leaving' } });
  const view = host.state.fleet.views.get('e0');
  const startedAt = view?.endpoint.startedAt ?? 0;
  host.dispatch({ type: 'noticeRead', endpoint: 'e0', startedAt, sentAt: 0, notice });
  expect((await waiting).status).toBe(503);
  await Promise.all(hanging);
  expect(endpoint.calls).toHaveLength(CONNECTIONS);
});
