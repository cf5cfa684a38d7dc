import { describe, expect, it } from 'vitest';
import { TableClient } from '../../src/clients/tableClient.ts';
import type { Condition, RowWrite, TableAnswer, TableCall } from '../../src/core/store.ts';
import { FaultProxy, type ProxyFaults } from '../../stand-ins/proxy/faultProxy.ts';
import type { CommonFaults } from '../../stand-ins/server.ts';
import { TableService } from '../../stand-ins/tableService.ts';
import { closeAfterTest, startStandIn } from '../support.ts';

const ABSENT: Condition = { type: 'absent' };
const ANY: Condition = { type: 'any' };

function put(key: string, value: unknown, condition: Condition = ANY): RowWrite {
  return { type: 'put', key, value, condition };
}

function write(...writes: RowWrite[]): TableCall {
  return { type: 'write', writes };
}

async function startTable(
  options: Parameters<typeof TableService.create>[0] = {},
  timeoutMs?: number,
) {
  const table = TableService.create(options);
  const proxy = FaultProxy.create({ target: await startStandIn(table) });
  const address = await startStandIn(proxy);
  return { table, proxy, client: closeAfterTest(TableClient.create({ address, timeoutMs })) };
}

const GET: TableCall = { type: 'get', key: 'zone/a' };
const OLD: Condition = { type: 'version', version: '99' };
const FIRST: Condition = { type: 'version', version: '1' };
const ROW = { key: 'zone/a', value: { epoch: 1 }, version: '1' };

describe('TableClient', () => {
  it.each<{ name: string; call: TableCall; expected: TableAnswer }>([
    { name: 'a row', call: GET, expected: { type: 'ok', rows: [ROW] } },
    { name: 'a missing row', call: { type: 'get', key: 'zone/x' }, expected: { type: 'missing' } },
    {
      name: 'a scan that continues after a key',
      call: { type: 'scan', prefix: 'zone/', after: 'zone/a', limit: 1 },
      expected: { type: 'ok', rows: [{ key: 'zone/b', value: 'text', version: '2' }] },
    },
    {
      name: 'a write on the current version',
      call: write(put('zone/a', { epoch: 2 }, FIRST)),
      expected: { type: 'ok', rows: [{ key: 'zone/a', value: { epoch: 2 }, version: '4' }] },
    },
    {
      name: 'a write on an old version',
      call: write(put('zone/a', 0, OLD)),
      expected: { type: 'conflict' },
    },
    {
      name: 'a creation of a row that exists',
      call: write(put('zone/a', 0, ABSENT)),
      expected: { type: 'conflict' },
    },
    {
      name: 'a transaction',
      call: write(put('n', 1, ABSENT), { type: 'delete', key: 'zone/a', condition: FIRST }),
      expected: { type: 'ok', rows: [{ key: 'n', value: 1, version: '4' }] },
    },
    {
      name: 'a transaction with one condition that does not hold',
      call: write(put('n', 1, ABSENT), put('zone/a', 0, OLD)),
      expected: { type: 'conflict' },
    },
    {
      name: 'a deletion of a missing row',
      call: write({ type: 'delete', key: 'zone/x', condition: ANY }),
      expected: { type: 'missing' },
    },
  ])('answers $name', async ({ call, expected }) => {
    const { client, table } = await startTable();
    await client.call(write(put('zone/a', { epoch: 1 })));
    await client.call(write(put('zone/b', 'text')));
    await client.call(write(put('zone/c', null)));
    expect(await client.call(call)).toEqual(expected);
    // A rejected transaction has no partial effect.
    if (expected.type === 'conflict') expect(table.rows.get('zone/a')?.version).toBe('1');
    if (expected.type === 'conflict') expect(table.rows.has('n')).toBe(false);
  });

  const put1 = write(put('n', 1));
  const slow = { table: { slowMs: 3_000 } };
  interface Faults {
    table?: Partial<CommonFaults>;
    proxy?: Partial<ProxyFaults>;
  }
  it.each<[string, TableCall, Faults, TableAnswer['type'], boolean?]>([
    ['a write without a response', put1, { table: { effectWithoutAnswer: 1 } }, 'unknown', true],
    ['a write whose response is lost', put1, { proxy: { loseAnswers: 1 } }, 'unknown', true],
    ['a read whose response is lost', GET, { proxy: { loseAnswers: 1 } }, 'unavailable'],
    ['a slow write', put1, slow, 'unknown'],
    ['a slow read', GET, slow, 'unavailable'],
    ['a write to a service that is down', put1, { table: { down: true } }, 'unavailable', false],
    ['a write that never arrived', put1, { proxy: { cutToServer: true } }, 'unknown', false],
    ['a write on a refused connection', put1, { proxy: { refuse: true } }, 'unavailable', false],
  ])('answers %s', async (_name, call, faults, expected, isApplied) => {
    const { table, proxy, client } = await startTable({}, 200);
    table.setFaults(faults.table ?? {});
    await proxy.setFaults(faults.proxy ?? {});
    expect((await client.call(call)).type).toBe(expected);
    if (isApplied !== undefined) expect(table.rows.has('n')).toBe(isApplied);
  });

  it('reports calls beyond the rate as unavailable', async () => {
    const { client, table } = await startTable({ writesPerS: 3 });
    const calls = Array.from({ length: 12 }, (_, n) => client.call(write(put(`k${n}`, n))));
    const answers = (await Promise.all(calls)).map(({ type }) => type);
    expect(answers.filter((type) => type === 'ok')).toHaveLength(table.rows.size);
    expect(answers).toContain('unavailable');
  });

  it('retires unresponsive connections, so that the next call succeeds', async () => {
    const { proxy, client } = await startTable({}, 200);
    await client.call(put1);
    await client.call(put1);
    // Both pooled connections are unresponsive; the failure of one must retire the other as well.
    expect(proxy.connectionCount).toBe(2);
    proxy.silenceConnections();
    expect((await client.call(put1)).type).toBe('unknown');
    expect((await client.call(put1)).type).toBe('ok');
  });
});
