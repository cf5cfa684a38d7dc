import { describe, expect, it } from 'vitest';
import type { HttpAnswer } from '../../src/clients/httpClient.ts';
import { ServiceClient } from '../../src/clients/serviceClient.ts';
import { FaultProxy, type ProxyFaults } from '../../stand-ins/proxy/faultProxy.ts';
import { RecordingService } from '../../stand-ins/recordingService.ts';
import { closeAfterTest, startStandIn } from '../support.ts';

async function startService() {
  const service = RecordingService.create();
  const proxy = FaultProxy.create({ target: await startStandIn(service) });
  const address = await startStandIn(proxy);
  const client = closeAfterTest(ServiceClient.create());
  const call = (mustNotRetry: boolean) =>
    client.call({
      address,
      method: 'POST',
      path: '/bookings',
      headers: { 'idempotency-key': 'k1' },
      body: '{"room":7}',
      timeoutMs: 300,
      mustNotRetry,
    });
  return { service, proxy, call };
}

describe('ServiceClient', () => {
  it.each<{
    name: string;
    faults: Partial<ProxyFaults>;
    expected: HttpAnswer['type'];
    executions: number;
  }>([
    { name: 'a healthy service', faults: {}, expected: 'answered', executions: 1 },
    { name: 'a refused connection', faults: { refuse: true }, expected: 'notSent', executions: 0 },
    { name: 'a lost response', faults: { loseAnswers: 1 }, expected: 'lost', executions: 1 },
    {
      name: 'a cut towards the service',
      faults: { cutToServer: true },
      expected: 'lost',
      executions: 0,
    },
    {
      name: 'a cut towards the caller',
      faults: { cutToClient: true },
      expected: 'lost',
      executions: 1,
    },
  ])('answers $expected for $name and executes at most once', async (row) => {
    const { service, proxy, call } = await startService();
    await proxy.setFaults(row.faults);
    expect((await call(true)).type).toBe(row.expected);
    expect(service.records).toHaveLength(row.executions);
    for (const { key, body } of service.records) {
      expect([key, body]).toEqual(['k1', '{"room":7}']);
    }
  });

  it('opens a new connection for a call that must not be retried', async () => {
    const { service, proxy, call } = await startService();
    await call(false);
    await call(false);
    proxy.silenceConnections();
    expect((await call(true)).type).toBe('answered');
    expect((await call(false)).type).toBe('lost');
    expect(service.records).toHaveLength(3);
  });
});
