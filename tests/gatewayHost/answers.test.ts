import { beforeEach, describe, expect, it } from 'vitest';
import type { EndpointBehaviour } from '../../stand-ins/platform/platformEndpoint.ts';
import type { PlatformEndpoint } from '../../stand-ins/platform/platformEndpoint.ts';
import { waitUntil } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

describe('plain requests', () => {
  let deployment: GatewayDeployment;
  let servers: PlatformEndpoint[];

  beforeEach(async () => {
    deployment = await GatewayDeployment.create();
    deployment.configure(1);
    servers = [await deployment.addServer('desk', 'd1'), await deployment.addServer('desk', 'd2')];
    await deployment.addHost();
    await deployment.waitReady(2);
  });

  /** Sets how both endpoints handle their next requests. */
  function plan(...behaviours: EndpointBehaviour[]): void {
    for (const server of servers) server.plannedBehaviours.push(...behaviours);
  }

  function countRuns(): number {
    return servers.flatMap(({ calls }) => calls).filter(({ isExecuted }) => isExecuted).length;
  }

  it('forwards method, target, body and headers unchanged, and drops headers that only the system sets', async () => {
    const answer = await deployment.send({
      path: '/booking/rooms?day=2&x=%2f',
      body: '{"room":7}',
      headers: {
        'x-desk': 'fez',
        'request-priority': '0',
        'kv-from': '10.0.0.1:1/h',
        hold: '7',
        connection: 'x-hop, attempt-id',
        'x-hop': '1',
        'deadline-ms': '900',
      },
    });
    expect(answer.status).toBe(200);
    expect(answer.headers['response-seal']).toMatch(/^seal-d/);
    const [call] = servers.flatMap(({ calls }) => calls);
    expect(call).toMatchObject({ method: 'POST', target: '/booking/rooms?day=2&x=%2f' });
    expect(call?.body).toBe('{"room":7}');
    expect(call?.headers).toMatchObject({ host: 'desk.example', 'x-desk': 'fez' });
    expect(call?.headers['attempt-id']).toMatch(/^a\d+$/);
    for (const name of ['request-priority', 'kv-from', 'hold', 'x-hop']) {
      expect(call?.headers[name]).toBeUndefined();
    }
    expect(Number(call?.headers['deadline-ms'])).toBeLessThanOrEqual(900);
  });

  it.each<[string, EndpointBehaviour, string, number, number]>([
    ['a request of a safe route is retried after an endpoint failed', 'fail', '/status/1', 500, 2],
    ['a booking is not retried after an endpoint failed', 'fail', '/booking/1', 500, 1],
    ['a booking whose connection broke may have run', 'reset', '/booking/1', 502, 1],
    ['a truncated response to a booking is a failure', 'truncate', '/booking/1', 502, 1],
    [
      'a response without a length whose connection is reset is incomplete',
      'unframedReset',
      '/booking/1',
      502,
      1,
    ],
    [
      'a response whose connection is reset together with its data is incomplete',
      'unframedResetAtOnce',
      '/booking/1',
      502,
      1,
    ],
    ['a response to another attempt is not delivered', 'wrongAttempt', '/booking/1', 502, 1],
    ['a response without a seal is not delivered', 'unsealed', '/booking/1', 502, 1],
    ['a booking that both endpoints refused does not run', 'shed', '/booking/1', 503, 0],
  ])('%s', async (_name, behaviour, path, status, runs) => {
    plan(behaviour, behaviour, behaviour, behaviour, behaviour, behaviour);
    const answer = await deployment.send({ path });
    expect(answer.status).toBe(status);
    expect(countRuns()).toBe(runs);
    if (status === 503) expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  });

  it.each<EndpointBehaviour>(['reset', 'truncate', 'wrongAttempt', 'unsealed', 'shed', 'fail'])(
    'the other endpoint serves a safe request after "%s"',
    async (behaviour) => {
      plan(behaviour);
      const first = servers.find(({ calls }) => calls.length > 0);
      expect(first).toBeUndefined();
      for (const server of servers.slice(1)) server.plannedBehaviours.length = 0;
      const answers = await Promise.all(
        [1, 2, 3].map((n) => deployment.send({ path: `/status/${n}` })),
      );
      expect(answers.map(({ status }) => status)).toEqual([200, 200, 200]);
      for (const { body } of answers) expect(body).toMatch(/^d\d answers POST \/status\/\d$/);
    },
  );

  it('delivers a response without a length, and treats a request refused before its body was read as not run', async () => {
    plan('unframed');
    const answer = await deployment.send({ path: '/booking/1' });
    expect(answer).toMatchObject({ status: 200, error: undefined });
    for (const server of servers) server.plannedBehaviours.length = 0;
    plan('early');
    const other = await deployment.send({ path: '/booking/2', body: 'y'.repeat(5_000) });
    expect([200, 503]).toContain(other.status);
  });

  it('never takes a second response on a connection for the response to the next request', async () => {
    for (let n = 0; n < 6; n++) {
      plan('extra');
      const answer = await deployment.send({ path: `/status/${n}` });
      expect(answer.status).toBe(200);
      expect(answer.body).toContain(`/status/${n}`);
    }
  });

  it('sends requests, also unsafe ones, to another endpoint when one refuses connections', async () => {
    deployment.register('desk', 'gone', '127.0.0.1:9');
    await deployment.waitReady(3);
    for (let n = 0; n < 8; n++) {
      expect((await deployment.send({ path: `/booking/${n}` })).status).toBe(200);
    }
  });

  it('fails a request at the timeout of its route', async () => {
    plan('hang', 'hang');
    const answer = await deployment.send({ path: '/status/quick/1' });
    expect(answer.status).toBe(504);
    await waitUntil(() =>
      servers.flatMap(({ calls }) => calls).every(({ isCancelled }) => isCancelled),
    );
  });

  it('cancels the request on the endpoint when the caller disconnects', async () => {
    plan('hang');
    const abort = new AbortController();
    const sent = deployment.send({ path: '/status/1', signal: abort.signal });
    await waitUntil(() => servers.some(({ calls }) => calls.length > 0));
    abort.abort();
    await sent;
    await waitUntil(() =>
      servers.some(({ calls }) => calls.some(({ isCancelled }) => isCancelled)),
    );
    await waitUntil(() =>
      deployment.hosts.every(({ state }) => state.forwards.inFlight.size === 0),
    );
  });

  it.each<[string, Parameters<GatewayDeployment['send']>[0], number]>([
    ['an unknown path', { path: '/nowhere/1' }, 404],
    ['an unknown host', { path: '/status/1', host: 'other.example' }, 404],
    ['a prefix without its slash', { path: '/status' }, 404],
    ['a body over the limit', { path: '/booking/1', body: 'x'.repeat(10_001) }, 413],
    ['headers over the limit', { path: '/booking/1', headers: { 'x-a': 'x'.repeat(9_000) } }, 431],
  ])('refuses %s', async (_name, request, status) => {
    expect((await deployment.send(request)).status).toBe(status);
    expect(countRuns()).toBe(0);
  });
});

describe('streams', () => {
  let deployment: GatewayDeployment;
  let servers: PlatformEndpoint[];

  beforeEach(async () => {
    deployment = await GatewayDeployment.create();
    deployment.configure(1);
    servers = [await deployment.addServer('llm', 'e1'), await deployment.addServer('llm', 'e2')];
    await deployment.addHost();
    await deployment.waitReady(2);
  });

  const WHOLE = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: token ${id}\n\n`).join('');

  it('loads the adapter and passes on the events', async () => {
    const answer = await deployment.stream('/labels/1', 'a7');
    expect(answer).toMatchObject({ status: 200, body: WHOLE, error: undefined });
    expect(servers.filter(({ adapters }) => adapters.has('base/a7'))).toHaveLength(1);
  });

  it('resumes a broken stream on another endpoint if the route allows it', async () => {
    for (const server of servers) server.plannedBehaviours.push('breakStream');
    servers[1]?.plannedBehaviours.pop();
    const answers = await Promise.all([
      deployment.stream('/notes/1', undefined),
      deployment.stream('/notes/2', undefined),
      deployment.stream('/notes/3', undefined),
    ]);
    for (const answer of answers) expect(answer).toMatchObject({ status: 200, body: WHOLE });
  });

  it('aborts a broken stream that must not run again, so that it is incomplete for the caller', async () => {
    for (const server of servers) server.plannedBehaviours.push('breakStream');
    const answer = await deployment.stream('/labels/1', undefined);
    expect(answer.error).toBeDefined();
    expect(servers.flatMap(({ calls }) => calls)).toHaveLength(1);
  });

  it('keeps to the adapter slots of an engine while many adapters are asked for', async () => {
    const names = Array.from({ length: 24 }, (_, index) => `a${index}`);
    const answers = await Promise.all(names.map((name) => deployment.stream('/labels/1', name)));
    expect(answers.map(({ status }) => status)).toEqual(names.map(() => 200));
    for (const { peakAdapters } of servers) expect(peakAdapters).toBeLessThanOrEqual(2);
  });

  it('runs requests on the announced version of an adapter', async () => {
    await deployment.stream('/labels/1', 'a1');
    for (const server of servers) server.announce('base/a1', 2);
    deployment.store.put('op', 'version/base.a1', { model: 'base', adapter: 'a1', version: 2 });
    await waitUntil(() =>
      deployment.hosts.every(({ state }) => state.residency.versions.get('base/a1') === 2),
    );
    const answer = await deployment.stream('/labels/1', 'a1');
    expect(answer.status).toBe(200);
    const executed = servers.flatMap(({ calls }) => calls).filter(({ isExecuted }) => isExecuted);
    expect(executed.at(-1)?.headers['expect-version']).toBe('2');
  });

  it('serves requests after an engine restarted without its adapters', async () => {
    await deployment.stream('/labels/1', 'a1');
    for (const server of servers) server.adapters.clear();
    const answer = await deployment.stream('/labels/1', 'a1');
    expect(answer).toMatchObject({ status: 200, body: WHOLE });
  });
});
