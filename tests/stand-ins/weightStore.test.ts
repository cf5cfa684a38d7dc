import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { WeightStore } from '../../stand-ins/weightStore.ts';
import { HttpClient } from '../../src/clients/httpClient.ts';
import { closeAfterTest, startStandIn } from '../support.ts';

function newEngines(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `engine-${index}`);
}

/** Simulates the timers and the clock that the store uses. Sockets run in real time. */
describe('weight store stand-in', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it.each([
    { name: 'one load', options: {}, engines: ['a'], doneMs: [250] },
    {
      name: 'eight loads',
      options: {},
      engines: newEngines(8),
      doneMs: Array<number>(8).fill(250),
    },
    {
      name: 'sixteen loads',
      options: {},
      engines: newEngines(16),
      doneMs: Array<number>(16).fill(500),
    },
    { name: 'two loads of one engine', options: {}, engines: ['a', 'a'], doneMs: [500, 500] },
    {
      name: 'loads beyond the rate',
      options: { loadsPerS: 2 },
      engines: newEngines(4),
      doneMs: [250, 250, 750, 1_250],
    },
  ])('finishes $name at the expected times', async ({ options, engines, doneMs }) => {
    const store = WeightStore.create({ loadsPerS: 100, ...options });
    const done: number[] = [];
    const loads = engines.map((engine) =>
      store.load(engine).then(() => done.push(performance.now())),
    );
    const start = performance.now();
    await vi.advanceTimersByTimeAsync(2_000);
    await Promise.all(loads);
    // The store rounds its timers up to whole milliseconds.
    const rounded = done.map((at) => Math.round((at - start) / 10) * 10);
    expect(rounded).toEqual(doneMs);
  });
});

describe('weight store stand-in over HTTP', () => {
  it.each([
    { model: 'label@1', status: 200 },
    { model: 'label@2', status: 500 },
  ])('answers $status for $model', async ({ model, status }) => {
    const store = WeightStore.create({ loadMs: 1 });
    store.setFaults({ failLoadsOf: ['label@2'] });
    const address = await startStandIn(store);
    const http = closeAfterTest(HttpClient.create());
    const path = `/weights/${model}`;
    const answer = await http.call({ address, method: 'GET', path, timeoutMs: 5_000 });
    expect(answer).toMatchObject({ type: 'answered', status });
    expect(store.records.loads).toHaveLength(status === 200 ? 1 : 0);
  });
});
