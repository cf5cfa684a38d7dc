import { describe, expect, it } from 'vitest';
import type { EngineOrder, EngineOrderAnswer } from '../../src/grants/types.ts';
import type { EngineFaults, EngineOptions } from '../../stand-ins/engine/options.ts';
import { startEngineStandIn, waitUntil } from '../support.ts';

const LOAD = { type: 'load', model: 'label@2' } as const;
const UNLOAD = { type: 'unload', model: 'label@1' } as const;

const KEPT = ['label@1'];

interface Case {
  order: typeof LOAD | Exclude<EngineOrder, { type: 'load' }>;
  epoch?: number;
  options?: Partial<EngineOptions>;
  faults?: Partial<EngineFaults>;
}

function getOrder(order: Case['order'], source: string): EngineOrder {
  return order.type === 'load' ? { ...order, source } : order;
}

describe('EngineClient.sendOrder', () => {
  it.each<[string, Case, EngineOrderAnswer['type'], string[]]>([
    ['a load', { order: LOAD }, 'done', ['label@1', 'label@2']],
    ['a failing load', { order: LOAD, faults: { failLoadsOf: ['label@2'] } }, 'failed', KEPT],
    ['a load without a free slot', { order: LOAD, options: { slots: 1 } }, 'failed', KEPT],
    ['an unload', { order: UNLOAD }, 'done', []],
    ['an unload of an absent adapter', { order: { type: 'unload', model: 'x@1' } }, 'done', KEPT],
    ['an old fencing number', { order: UNLOAD, epoch: 4 }, 'fenced', KEPT],
    [
      'an old fencing number on an engine that ignores it',
      { order: UNLOAD, epoch: 4, options: { checksFencing: false } },
      'done',
      [],
    ],
    ['a lost response', { order: UNLOAD, faults: { effectWithoutAnswer: 1 } }, 'unknown', []],
    ['an engine that is down', { order: UNLOAD, faults: { down: true } }, 'failed', KEPT],
    ['a role', { order: { type: 'role', role: 'prefill' } }, 'done', KEPT],
  ])('answers %s', async (_name, { order, epoch, options, faults }, expected, residents) => {
    const { engine, client, direct, source } = await startEngineStandIn(options);
    await client.sendOrder(direct, 5, { type: 'role', role: 'decode' });
    engine.setFaults(faults ?? {});
    const answer = await client.sendOrder(direct, epoch ?? 5, getOrder(order, source));
    expect(answer.type).toBe(expected);
    expect([...engine.adapters.residents]).toEqual(residents);
  });

  it('reports an order on a refused connection as failed', async () => {
    const { client, address, proxy } = await startEngineStandIn();
    await proxy.setFaults({ refuse: true });
    expect((await client.sendOrder(address, 1, UNLOAD)).type).toBe('failed');
  });
});

describe('EngineClient.readLoad', () => {
  it('reads the report', async () => {
    const { engine, client, address } = await startEngineStandIn();
    const report = (await client.readLoad(address)).unwrap();
    expect(report).toMatchObject({ bootId: engine.bootId, residents: ['label@1'], slots: 8 });
  });

  it.each([
    { name: 'refused', fault: { refuse: true }, refused: true },
    { name: 'cut', fault: { cutToClient: true }, refused: false },
    { name: 'broken', fault: { loseAnswers: 1 }, refused: false },
  ])('reports whether a connection that is $name was refused', async ({ fault, refused }) => {
    const { client, address, proxy } = await startEngineStandIn();
    await proxy.setFaults(fault);
    const result = await client.readLoad(address);
    expect(result.err && result.val.refused).toBe(refused);
  });

  it('reads a new boot id and no residents after a crash', async () => {
    const { engine, client, direct } = await startEngineStandIn();
    const before = (await client.readLoad(direct)).unwrap();
    engine.crash();
    await waitUntil(async () => (await client.readLoad(direct)).ok);
    const after = (await client.readLoad(direct)).unwrap();
    expect(after.bootId).not.toBe(before.bootId);
    expect(after.residents).toEqual([]);
  });
});
