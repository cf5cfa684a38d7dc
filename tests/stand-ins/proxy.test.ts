import { describe, expect, it } from 'vitest';
import { HttpClient } from '../../src/clients/httpClient.ts';
import { Proxy, type ProxyFaults } from '../../stand-ins/proxy/proxy.ts';
import { Service } from '../../stand-ins/service.ts';
import { closeAfterTest, startStandIn, waitUntil } from '../support.ts';

async function startProxy(localAddress?: string) {
  const service = Service.create();
  const proxy = Proxy.create({ target: await startStandIn(service) });
  const address = await startStandIn(proxy);
  const http = closeAfterTest(HttpClient.create({ localAddress }));
  const post = (timeoutMs: number) =>
    http.call({ address, method: 'POST', path: '/x', body: 'y'.repeat(100_000), timeoutMs });
  return { service, proxy, address, http, post };
}

describe('proxy', () => {
  it.each<{ name: string; faults: Partial<ProxyFaults>; healed: Partial<ProxyFaults> }>([
    {
      name: 'a cut towards the server',
      faults: { cutToServer: true },
      healed: { cutToServer: false },
    },
    {
      name: 'a cut towards the client',
      faults: { cutToClient: true },
      healed: { cutToClient: false },
    },
    { name: 'a delay', faults: { delayMs: 20 }, healed: {} },
  ])('delivers everything after $name', async ({ faults, healed }) => {
    const { proxy, post, service } = await startProxy();
    await proxy.setFaults(faults);
    const answer = post(20_000);
    await waitUntil(() => proxy.connections === 1);
    await proxy.setFaults(healed);
    expect(await answer).toMatchObject({ type: 'answered', status: 200 });
    expect(service.records[0]?.body).toHaveLength(100_000);
  });

  it('accepts connections again on the same port after refusing them', async () => {
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

  it('injects faults by the address that a connection comes from', async () => {
    const { proxy, address, http, post } = await startProxy('127.1.1.1');
    const other = closeAfterTest(HttpClient.create({ localAddress: '127.1.1.2' }));
    const get = () => other.call({ address, method: 'GET', path: '/y', timeoutMs: 5_000 });
    await proxy.setFaults({ cutToServer: true }, '127.1.1.1');
    expect(await post(100)).toMatchObject({ type: 'lost' });
    expect(await get()).toMatchObject({ type: 'answered' });
    await proxy.clearFaults('127.1.1.1');
    expect(await post(5_000)).toMatchObject({ type: 'answered' });
    proxy.silence('127.1.1.1');
    expect(await get()).toMatchObject({ type: 'answered' });
    expect(await post(100)).toMatchObject({ type: 'lost' });
    await proxy.setFaults({ refuse: true }, '127.1.1.1');
    http.retireConnections(address);
    // The reset arrives before or after the first byte is written.
    expect(await post(5_000)).not.toMatchObject({ type: 'answered' });
    expect(await get()).toMatchObject({ type: 'answered' });
  });
});
