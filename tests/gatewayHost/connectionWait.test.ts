import { expect, it } from 'vitest';
import { RawEndpoint } from '../helpers/rawEndpoint.ts';
import { startStandIn, waitUntil } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

/** Connections that a host opens to an endpoint of the deployment. */
const CONNECTIONS = 50;
/** Time by which a passed-on deadline may exceed what is left to the caller. */
const MAX_EXCESS_MS = 500;

it('passes on the time that is left when a request waited for a connection to its endpoint', async () => {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1);
  const endpoint = await deployment.addServer('desk', 'd1');
  await deployment.addHost();
  await deployment.waitReady(1);
  endpoint.plannedBehaviours.push(...Array<'hang'>(CONNECTIONS).fill('hang'));
  const hanging = Array.from({ length: CONNECTIONS }, () =>
    deployment.send({ path: '/booking/slow', headers: { 'deadline-ms': '1500' } }),
  );
  await waitUntil(() => endpoint.calls.length === CONNECTIONS);
  const sentAt = performance.now();
  const waiting = deployment.send({ path: '/booking/next', headers: { 'deadline-ms': '2500' } });
  await waitUntil(() => endpoint.calls.length > CONNECTIONS);
  const leftMs = 2_500 - (performance.now() - sentAt);
  const passedMs = Number(endpoint.calls.at(-1)?.headers['deadline-ms']);
  expect(leftMs).toBeLessThan(2_500 - MAX_EXCESS_MS);
  expect(passedMs - leftMs).toBeLessThan(MAX_EXCESS_MS);
  expect((await waiting).status).toBe(200);
  await Promise.all(hanging);
});

// Guards against connections that leave by another address than the host's own, which endpoints may refuse.
it('opens connections to endpoints from the source address of the host', async () => {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1);
  const endpoint = RawEndpoint.create(() => ['HTTP/1.1 503 Full\r\nnot-executed: 1\r\n\r\n']);
  deployment.register('desk', 'd1', await startStandIn(endpoint));
  await deployment.addHost({ 'source-address': '127.0.0.9' });
  await deployment.waitReady(1);
  await deployment.send({ path: '/booking/1' });
  expect(endpoint.sourceAddresses.length).toBeGreaterThan(0);
  expect(new Set(endpoint.sourceAddresses)).toEqual(new Set(['127.0.0.9']));
});
