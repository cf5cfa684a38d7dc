import { describe, expect, it } from 'vitest';
import { HttpClient } from '../../src/clients/httpClient.ts';
import { getExpectedText } from '../../stand-ins/engine/completion.ts';
import { getPromptBlocks, PrefixCache } from '../../stand-ins/engine/prefixCache.ts';
import { closeAfterTest, runCompletion, startEngineStandIn, waitUntil } from '../support.ts';

describe('engine stand-in', () => {
  it.each([
    { name: 'prompt', change: { prompt: 'other' } },
    { name: 'adapter', change: { model: 'letter@1' } },
    { name: 'version', change: { model: 'label@2' } },
    { name: 'seed', change: { seed: 1 } },
  ])('generates different text for a different $name', ({ change }) => {
    const body = { model: 'label@1', prompt: 'tea', max_tokens: 40, priority: 0 };
    expect(getExpectedText({ ...body })).toBe(getExpectedText(body));
    expect(getExpectedText({ ...body, ...change })).not.toBe(getExpectedText(body));
  });

  it('records the requests that used an evicted adapter', async () => {
    const { engine, client, direct } = await startEngineStandIn();
    const { ended } = runCompletion(client, direct, { max_tokens: 200 });
    await waitUntil(() => engine.records.runs[0]?.state === 'running');
    await client.sendOrder(direct, 1, { type: 'unload', model: 'label@1' });
    await ended;
    await client.sendOrder(direct, 1, { type: 'unload', model: 'label@1' });
    expect(engine.records.evictions).toMatchObject([{ model: 'label@1', inUseBy: ['r1'] }]);
  });

  it('starts waiting requests in the order of their priority', async () => {
    const { engine, client, direct } = await startEngineStandIn({ maxBatch: 1, stepMs: 5 });
    const order: string[] = [];
    const run = (requestId: string, priority: number, tokens: number) =>
      runCompletion(
        client,
        direct,
        { max_tokens: tokens },
        { requestId, priority, onResponseStarted: () => order.push(requestId) },
      ).ended;
    const first = run('first', 5, 60);
    await waitUntil(() => order.length === 1);
    const late = run('late', 9, 2);
    await waitUntil(() => engine.records.runs.length === 2);
    const urgent = run('urgent', 0, 2);
    await waitUntil(() => engine.records.runs.length === 3);
    expect(engine.getLoadReport()).toMatchObject({ waiting: 2, running: { 'label@1': 1 } });
    await Promise.all([first, late, urgent]);
    expect(order).toEqual(['first', 'urgent', 'late']);
  });

  it('reports its load with a lag', async () => {
    const { client, direct } = await startEngineStandIn({ reportLagMs: 200 });
    expect((await client.readLoad(direct)).unwrap().residents).toEqual([]);
    await waitUntil(async () => (await client.readLoad(direct)).unwrap().residents.length === 1);
  });

  it('publishes cache events with gaps, and exports and imports blocks', async () => {
    const { engine, client, direct } = await startEngineStandIn({
      eventLagMs: 0,
      eventGapEvery: 2,
    });
    const http = closeAfterTest(HttpClient.create());
    const request = async (method: 'GET' | 'POST', path: string, body?: unknown) => {
      const json = JSON.stringify(body);
      const call = { address: direct, method, path, body: json, timeoutMs: 5_000 };
      const answer = await http.call(call);
      return answer.type === 'answered' ? answer.body.toString() : answer.type;
    };
    const prompt = 'x'.repeat(64 * 3);
    await runCompletion(client, direct, { prompt }).ended;
    const blocks = getPromptBlocks('label@1', prompt);
    const [first, , third] = blocks;
    expect(JSON.parse(await request('GET', '/kv_events?after=0'))).toEqual({
      bootId: engine.bootId,
      events: [
        { n: 1, type: 'stored', block: first },
        { n: 3, type: 'stored', block: third },
      ],
    });
    expect(JSON.parse(await request('GET', '/kv_events?after=1'))).toMatchObject({
      events: [{ n: 3 }],
    });
    await request('POST', '/kv/import', { blocks: [42] });
    const exported = await request('POST', '/kv/export', { blocks: [42, 43, ...blocks] });
    expect(JSON.parse(exported)).toEqual({ blocks: [42, ...blocks] });
    expect(await request('GET', '/metrics')).toContain('vllm:num_requests_running 0');
    expect(await request('GET', '/v1/models')).toContain('label@1');
  });

  it('evicts the least recently used cache blocks', () => {
    const cache = PrefixCache.create({ cacheBlocks: 2, eventLagMs: 0, eventGapEvery: 0 });
    cache.store([1, 2]);
    cache.store([1, 3]);
    expect(cache.getCachedBlocks([1, 2, 3])).toEqual([1, 3]);
    expect(cache.getHitCount([1, 2])).toBe(1);
    expect(cache.getEvents(3)).toEqual([{ n: 4, type: 'removed', block: 2 }]);
  });
});
