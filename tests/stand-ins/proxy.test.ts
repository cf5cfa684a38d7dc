import { describe, expect, it } from 'vitest';
import { HttpClient } from '../../src/clients/httpClient.ts';
import { FaultProxy, type ProxyFaults } from '../../stand-ins/proxy/faultProxy.ts';
import { RecordingService } from '../../stand-ins/recordingService.ts';
import { closeAfterTest, startStandIn, waitUntil } from '../support.ts';

async function startProxy(localAddress?: string) {
  const service = RecordingService.create();
  const proxy = FaultProxy.create({ target: await startStandIn(service) });
  const address = await startStandIn(proxy);
  const http = closeAfterTest(HttpClient.create({ localAddress }));
  const post = (timeoutMs: number) =>
    http.call({ address, method: 'POST', path: '/x', body: 'y'.repeat(100_000), timeoutMs });
  return { service, proxy, address, http, post };
}

describe('fault proxy', () => {
  it.each<{ name: string; faults: Partial<ProxyFaults>; cleared: Partial<ProxyFaults> }>([
    {
      name: 'blocked traffic to the server',
      faults: { cutToServer: true },
      cleared: { cutToServer: false },
    },
    {
      name: 'blocked traffic to the client',
      faults: { cutToClient: true },
      cleared: { cutToClient: false },
    },
    { name: 'a delay', faults: { delayMs: 20 }, cleared: {} },
  ])('delivers the whole request and its answer after $name', async ({ faults, cleared }) => {
    const { proxy, post, service } = await startProxy();
    await proxy.setFaults(faults);
    const answer = post(20_000);
    await waitUntil(() => proxy.connectionCount === 1);
    await proxy.setFaults(cleared);
    expect(await answer).toMatchObject({ type: 'answered', status: 200 });
    expect(service.records[0]?.body).toHaveLength(100_000);
  });

  it('accepts connections on the same port again after refusing them', async () => {
    const { proxy, post } = await startProxy();
    await proxy.setFaults({ refuse: true });
    expect(await post(5_000)).toMatchObject({ type: 'notSent', refused: true });
    await proxy.setFaults({ refuse: false });
    expect(await post(5_000)).toMatchObject({ type: 'answered' });
  });

  it('is controlled over HTTP', async () => {
    const { proxy, http, post } = await startProxy();
    const address = await proxy.startControl();
    const control = (path: string, body?: unknown) =>
      http.call({ address, method: 'POST', path, body: JSON.stringify(body), timeoutMs: 5_000 });
    expect(await control('/faults', { delayMs: -1 })).toMatchObject({ status: 400 });
    expect(await control('/faults', { loseAnswers: 1 })).toMatchObject({ status: 200 });
    expect(await post(5_000)).toMatchObject({ type: 'lost' });
    expect(await post(5_000)).toMatchObject({ type: 'answered' });
    expect(await control('/silence')).toMatchObject({ status: 200 });
    expect(await post(200)).toMatchObject({ type: 'lost' });
    expect(await post(5_000)).toMatchObject({ type: 'answered' });
  });

  it('injects faults by the source address of a connection', async () => {
    const { proxy, address, http, post } = await startProxy('127.1.1.1');
    const other = closeAfterTest(HttpClient.create({ localAddress: '127.1.1.2' }));
    const get = () => other.call({ address, method: 'GET', path: '/y', timeoutMs: 5_000 });
    await proxy.setFaults({ cutToServer: true }, '127.1.1.1');
    expect(await post(100)).toMatchObject({ type: 'lost' });
    expect(await get()).toMatchObject({ type: 'answered' });
    await proxy.clearFaults('127.1.1.1');
    expect(await post(5_000)).toMatchObject({ type: 'answered' });
    proxy.silenceConnections('127.1.1.1');
    expect(await get()).toMatchObject({ type: 'answered' });
    expect(await post(100)).toMatchObject({ type: 'lost' });
    await proxy.setFaults({ refuse: true }, '127.1.1.1');
    http.retireConnections(address);
    // The reset arrives before or after the first byte is written.
    expect(await post(5_000)).not.toMatchObject({ type: 'answered' });
    expect(await get()).toMatchObject({ type: 'answered' });
  });
});
