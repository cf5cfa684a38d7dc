import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { beforeEach, expect, it } from 'vitest';
import { EndpointLinks, getSourceAddress } from '../helpers/endpointLinks.ts';
import { waitUntil } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

const BODY_BYTES = 4 * 1024 * 1024;
const HOSTS = 3;
const CUT_OFF = 0;

let deployment: GatewayDeployment;
let links: EndpointLinks;

/** Starts hosts of which one reaches the endpoints through the others only, and knows it. */
beforeEach(async () => {
  deployment = await GatewayDeployment.create();
  deployment.configure(1, { limits: { bodyBytes: 2 * BODY_BYTES } });
  links = EndpointLinks.create(deployment);
  await links.addEndpoint('desk', 'e0');
  await links.addEndpoint('llm', 'e1', { events: 20, gapMs: 50 });
  for (let host = 0; host < HOSTS; host++)
    await deployment.addHost({ 'source-address': getSourceAddress(host) });
  await deployment.waitReady(2);
  await links.cut(CUT_OFF, 'reset');
  for (let request = 0; request < 10; request++)
    await deployment.send({ path: '/status/1' }, CUT_OFF);
  await deployment.stream('/notes/1', undefined, CUT_OFF);
});

// Guards against relays that keep bodies in memory, lose their end or mix them.
it('relays bodies of 4 MiB beside each other', async () => {
  const bodies = Array.from({ length: 4 }, () => randomBytes(BODY_BYTES / 2).toString('hex'));
  const answers = await Promise.all(
    bodies.map((body) => deployment.send({ path: '/booking/1', body }, CUT_OFF)),
  );
  expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
  const received = links.endpoints[0]?.calls.map(({ body }) => body) ?? [];
  for (const body of bodies) expect(received.includes(body)).toBe(true);
});

// Guards against a stream that holds others up, or ends early, on its way through a relay.
it('passes streams on event by event, and short requests beside them', async () => {
  const startedAt = performance.now();
  const streams = Array.from({ length: 4 }, () =>
    deployment.stream('/notes/1', undefined, CUT_OFF),
  );
  await sleep(100);
  const reads = await Promise.all(
    Array.from({ length: 10 }, () => deployment.send({ path: '/status/1' }, CUT_OFF)),
  );
  const readMs = performance.now() - startedAt - 100;
  expect(reads.map(({ status }) => status)).toEqual(reads.map(() => 200));
  expect(readMs).toBeLessThan(800);
  for (const { status, body, error } of await Promise.all(streams)) {
    expect([status, error]).toEqual([200, undefined]);
    expect(body).toContain('id: 20\n');
  }
});

// Guards against an answer that looks complete although its endpoint broke it off behind a relay.
it.each(['truncate', 'unframedReset', 'unframedResetAtOnce'] as const)(
  'takes an answer for broken that its endpoint breaks off: %s',
  async (behaviour) => {
    // The proxy of the links does not pass resets on, so this endpoint is reached without it.
    const endpoint = await deployment.addServer('desk', 'e2');
    const host = deployment.hosts[CUT_OFF];
    await waitUntil(() => host?.state.fleet.views.has('e2') === true);
    host?.dispatch({ type: 'endpointProbed', endpoint: 'e2', isAnswered: false });
    deployment.store.remove('servers', 'e0');
    await waitUntil(() => host?.state.fleet.views.get('e0')?.isRemoved === true);
    endpoint.plannedBehaviours.push(behaviour);
    host?.dispatch({ type: 'endpointProbed', endpoint: 'e2', isAnswered: false });
    expect(host?.state.paths.lost.has('e2')).toBe(true);
    const { status } = await deployment.send({ path: '/booking/1', body: '{}' }, CUT_OFF);
    expect(status).toBe(502);
    expect(endpoint.calls).toHaveLength(1);
  },
);

// Guards against an action that runs twice when the host that relays it stops.
it('runs an action at most once while the relays stop', async () => {
  const sent = Array.from({ length: 20 }, () =>
    deployment.send({ path: '/booking/1', body: '{}' }, CUT_OFF),
  );
  await Promise.all([...sent, deployment.hosts[1]?.stop(), deployment.hosts[2]?.stop()]);
  const ids = links.endpoints[0]?.calls.map(({ headers }) => headers['attempt-id']) ?? [];
  const bookings = ids.filter((id) => id !== undefined);
  expect(bookings).toHaveLength(new Set(bookings).size);
});
