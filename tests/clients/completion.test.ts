import { describe, expect, it } from 'vitest';
import { getExpectedText } from '../../stand-ins/engine/completion.ts';
import type { EngineFaults } from '../../stand-ins/engine/options.ts';
import { getChunkText, runCompletion, startEngineStandIn, waitUntil } from '../support.ts';

const EXPECTED = getExpectedText({
  model: 'label@1',
  prompt: 'green tea',
  max_tokens: 12,
  priority: 5,
});
const COMPLETED = { type: 'completed', adapter: 'label', version: '1', tokens: 12 };

describe('startCompletion', () => {
  it.each<{ name: string; faults: Partial<EngineFaults>; resumedAt?: number }>([
    { name: 'an undisturbed stream', faults: {} },
    { name: 'duplicated chunks', faults: { duplicateChunks: true } },
    { name: 'reordered chunks', faults: { reorderChunks: true } },
    { name: 'both', faults: { duplicateChunks: true, reorderChunks: true } },
    { name: 'a break after some chunks', faults: { breakAfter: 5 }, resumedAt: 5 },
    { name: 'a break before the end marker', faults: { breakAfter: 12 }, resumedAt: 12 },
    {
      name: 'a break between reordered chunks',
      faults: { breakAfter: 3, reorderChunks: true },
      resumedAt: 4,
    },
  ])('passes on the whole response once: $name', async ({ faults, resumedAt }) => {
    const { engine, client, address } = await startEngineStandIn();
    engine.setFaults(faults);
    const { ended, chunks, heads } = runCompletion(client, address, {});
    expect(await ended).toEqual(COMPLETED);
    expect(getChunkText(chunks)).toBe(EXPECTED);
    expect(heads.count).toBe(1);
    // A resumed stream continues the same run.
    expect(engine.records.runs).toHaveLength(1);
    const resumes = resumedAt === undefined ? [] : [{ request: 'r1', position: resumedAt }];
    expect(engine.records.resumes).toEqual(resumes);
  });

  it('counts the tokens that the engine reports for a chat', async () => {
    const { client, address } = await startEngineStandIn();
    const messages = [{ role: 'user', content: 'tea' }];
    const body = { prompt: undefined, messages, stream_options: { include_usage: true } };
    const { ended, chunks } = runCompletion(client, address, body, {
      path: '/v1/chat/completions',
    });
    expect(await ended).toEqual(COMPLETED);
    expect(chunks).toHaveLength(13);
  });

  it.each([{ stream: true }, { stream: false }])(
    'passes on nothing from a wrong adapter (stream: $stream)',
    async ({ stream }) => {
      const { engine, client, address } = await startEngineStandIn();
      engine.setFaults({ reportModel: 'label@2' });
      const { ended, chunks, heads } = runCompletion(client, address, { stream });
      expect(await ended).toEqual({ type: 'wrongAdapter', reported: 'label@2' });
      expect([chunks.length, heads.count]).toEqual([0, 0]);
    },
  );

  it('passes on the whole JSON response if the request does not stream', async () => {
    const { client, address } = await startEngineStandIn();
    const { ended, chunks } = runCompletion(client, address, { stream: false });
    expect(await ended).toEqual(COMPLETED);
    expect(getChunkText(chunks)).toBe(EXPECTED);
  });

  it.each([{ stream: true }, { stream: false }])(
    'resumes on a new connection when the first one delivers nothing (stream: $stream)',
    async ({ stream }) => {
      const { engine, client, address, proxy } = await startEngineStandIn({ stepMs: 20 });
      const options = { progressTimeoutMs: 300 };
      const { ended, chunks } = runCompletion(client, address, { stream }, options);
      await waitUntil(() => engine.records.runs[0]?.state === 'running');
      proxy.silenceConnections();
      expect(await ended).toEqual(COMPLETED);
      expect(getChunkText(chunks)).toBe(EXPECTED);
      expect(engine.records.runs).toHaveLength(1);
    },
  );

  it('reports a stream as broken, never as not run, after its engine crashed', async () => {
    const { engine, client, address } = await startEngineStandIn();
    const { ended, chunks } = runCompletion(client, address, { max_tokens: 5_000 });
    await waitUntil(() => chunks.length > 2);
    engine.crash();
    expect((await ended).type).toBe('broken');
    expect(engine.records.crashes).toMatchObject([{ requests: ['r1'] }]);
  });

  it('reports a crash caused by a prompt as broken', async () => {
    const { engine, client, direct } = await startEngineStandIn({ coldStartMs: 5_000 });
    engine.setFaults({ crashOn: 'tea' });
    const { ended } = runCompletion(client, direct, {});
    expect((await ended).type).toBe('broken');
    const again = runCompletion(client, direct, {});
    expect(await again.ended).toEqual({ type: 'unreachable' });
  });

  it.each([
    { name: 'not resident', model: 'label@7', body: {}, expected: { type: 'notResident' } },
    {
      name: 'an invalid body',
      model: 'label@1',
      body: { max_tokens: -1 },
      expected: { type: 'refused', status: 400 },
    },
  ])('reports a refusal: $name', async ({ model, body, expected }) => {
    const { client, address } = await startEngineStandIn();
    expect(await runCompletion(client, address, body, { model }).ended).toMatchObject(expected);
  });

  it('cancels the request on the engine', async () => {
    const { engine, client, address } = await startEngineStandIn({ resumeWindowMs: 20 });
    const running = runCompletion(client, address, { max_tokens: 5_000 });
    await waitUntil(() => running.chunks.length > 2);
    running.cancel();
    expect(await running.ended).toEqual({ type: 'cancelled' });
    const passedOn = running.chunks.length;
    await waitUntil(() => engine.records.runs[0]?.state === 'cancelled');
    expect(running.chunks).toHaveLength(passedOn);
  });

  it('ends at its deadline and cancels the request on the engine', async () => {
    const { engine, client, address } = await startEngineStandIn();
    const deadline = performance.now() + 150;
    const { ended } = runCompletion(client, address, { max_tokens: 5_000 }, { deadline });
    expect((await ended).type).toBe('broken');
    await waitUntil(() => engine.records.runs[0]?.state === 'cancelled');
  });

  it('reports a stream as broken if a chunk could not be passed on', async () => {
    const { client, address } = await startEngineStandIn();
    const onChunk = () => Promise.reject(new Error('the caller is gone'));
    const { ended } = runCompletion(client, address, {}, { onChunk });
    expect((await ended).type).toBe('broken');
  });

  it('applies back-pressure while the caller is slow', async () => {
    const { client, address } = await startEngineStandIn();
    let active = 0;
    const received: string[] = [];
    const onChunk = async (data: string) => {
      expect(++active).toBe(1);
      await new Promise((resolve) => setImmediate(resolve));
      received.push(data);
      active--;
    };
    expect(await runCompletion(client, address, {}, { onChunk }).ended).toEqual(COMPLETED);
    expect(getChunkText(received)).toBe(EXPECTED);
  });
});
