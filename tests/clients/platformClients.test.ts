import { describe, expect, it } from 'vitest';
import { HostListClient } from '../../src/clients/hostListClient.ts';
import { ObjectClient } from '../../src/clients/objectClient.ts';
import type { ObjectAnswer, ObjectCall } from '../../src/core/store.ts';
import { HostList } from '../../stand-ins/hostList.ts';
import { ObjectStore } from '../../stand-ins/objectStore.ts';
import type { CommonFaults } from '../../stand-ins/server.ts';
import { closeAfterTest, startStandIn, waitUntil } from '../support.ts';

const PUT: ObjectCall = { type: 'put', key: 'draft/1', body: 'letter' };
const GET: ObjectCall = { type: 'get', key: 'draft/0' };

describe('ObjectClient', () => {
  it.each<{
    name: string;
    call: ObjectCall;
    faults?: Partial<CommonFaults>;
    expected: ObjectAnswer;
  }>([
    { name: 'a read', call: GET, expected: { type: 'ok', body: 'first' } },
    { name: 'a missing object', call: { ...GET, key: 'x' }, expected: { type: 'missing' } },
    { name: 'a write', call: PUT, expected: { type: 'ok', body: '' } },
    {
      name: 'a deletion',
      call: { type: 'delete', key: 'draft/0' },
      expected: { type: 'ok', body: '' },
    },
    {
      name: 'a lost response',
      call: PUT,
      faults: { effectWithoutAnswer: 1 },
      expected: { type: 'unknown', reason: 'other side closed' },
    },
    {
      name: 'a store that is down',
      call: PUT,
      faults: { down: true },
      expected: { type: 'unavailable', reason: 'the object store answered 503' },
    },
    {
      name: 'a slow write',
      call: PUT,
      faults: { slowMs: 3_000 },
      expected: { type: 'unknown', reason: 'timed out' },
    },
    {
      name: 'a slow read',
      call: GET,
      faults: { slowMs: 3_000 },
      expected: { type: 'unavailable', reason: 'timed out' },
    },
  ])('answers $name', async ({ call, faults, expected }) => {
    const objects = ObjectStore.create();
    const address = await startStandIn(objects);
    const client = closeAfterTest(ObjectClient.create({ address, timeoutMs: 200 }));
    await client.call({ type: 'put', key: 'draft/0', body: 'first' });
    objects.setFaults(faults ?? {});
    expect(await client.call(call)).toEqual(expected);
  });
});

describe('HostListClient', () => {
  it('reads a change of the list once its lag has passed', async () => {
    const list = HostList.create({ lagMs: 30 });
    const client = closeAfterTest(HostListClient.create({ address: await startStandIn(list) }));
    const host = {
      id: 'koji-1',
      kind: 'engine',
      address: '10.0.0.1:80',
      zone: 'casa-a',
      state: 'leaving',
    } as const;
    list.setHosts([host]);
    await waitUntil(async () => (await client.read()).unwrap().length === 1);
    expect((await client.read()).unwrap()).toEqual([host]);
  });

  it('reports a list that cannot be read', async () => {
    const list = HostList.create();
    const client = closeAfterTest(HostListClient.create({ address: await startStandIn(list) }));
    list.setFaults({ down: true });
    expect((await client.read()).val).toBe('the host list answered 503');
  });
});
