import { Readable } from 'node:stream';
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { Completion } from '../../src/clients/completion.ts';
import type { HttpClient } from '../../src/clients/httpClient.ts';
import type { Effect } from '../../src/core/effects.ts';
import type { Event } from '../../src/core/events.ts';
import { reduce } from '../../src/core/reduce.ts';
import { State } from '../../src/core/state.ts';

const MODEL = 'label@1';

/** Returns an HTTP client that gives `parts` as the first response body; resumes get status 404. */
function newHttpClient(parts: Buffer[]): HttpClient {
  let calls = 0;
  const open = () => {
    const isFirst = calls++ === 0;
    const body = Readable.from(isFirst ? parts : [], { objectMode: true });
    const status = isFirst ? 200 : 404;
    return Promise.resolve({ type: 'open', status, headers: {}, body, close: () => undefined });
  };
  return { open, retireConnections: () => undefined } as unknown as HttpClient;
}

async function runCompletion(parts: Buffer[]) {
  const passed: number[] = [];
  const outcome = await Completion.create(newHttpClient(parts), {
    address: 'x',
    path: '/v1/completions',
    body: { prompt: 'x', stream: true },
    requestId: 'r1',
    model: MODEL,
    priority: 1,
    deadline: performance.now() + 5_000,
    onResponseStarted: () => undefined,
    onChunk: (data) => void passed.push((JSON.parse(data) as { n: number }).n),
  }).run();
  return { outcome, passed };
}

const newChunk = (id: number) => `id: ${id}\ndata: {"model":"${MODEL}","n":${id}}\n\n`;
const GARBAGE = [
  ': comment\n\n',
  'data: {"model":"other@1"}\n\n',
  'id: 3\ndata: {"error":{"message":"out of memory"}}\n\n',
  'id: 2\nevent: x\ndata: [\ndata: 1]\n\n',
  'id: 1e9\ndata: x\n\n',
  '\r\n\r\n\0\n\n',
  '\ufffd\ufeff\n\n',
];

// Without a chunk, adapter and version are unknown, so the response has not started for the caller.
it('treats a stream with an end mark and no chunk as broken', async () => {
  const parts = [Buffer.from('data: [DONE]\n\n')];
  const { outcome, passed } = await runCompletion(parts);
  expect([outcome.type, passed]).toEqual(['broken', []]);
});

// Chunks may be duplicated, out of order, missing, split anywhere or mixed with other bytes.
it('passes on the event stream of an engine completely and in order, or reports it as failed', async () => {
  const edit = fc.tuple(fc.constantFrom('drop', 'double', 'swap', 'garbage'), fc.nat(), fc.nat());
  const edits = fc.array(edit, { maxLength: 4 });
  await fc.assert(
    fc.asyncProperty(fc.integer({ min: 1, max: 9 }), edits, fc.nat(30), async (count, all, cut) => {
      const events = Array.from({ length: count }, (_, index) => newChunk(index + 1));
      events.push(`id: ${count + 1}\ndata: [DONE]\n\n`);
      for (const [type, at, which] of all) {
        const index = at % events.length;
        const event = events[index] ?? '';
        if (type === 'drop') events.splice(index, 1);
        if (type === 'double') events.splice(index, 0, event);
        if (type === 'swap') events.splice(which % events.length, 0, ...events.splice(index, 1));
        if (type === 'garbage') events.splice(index, 0, GARBAGE[which % GARBAGE.length] ?? '');
        if (events.length === 0) break;
      }
      const bytes = Buffer.from(events.join(''));
      const parts: Buffer[] = [];
      for (let at = 0; at < bytes.length; at += cut + 1)
        parts.push(bytes.subarray(at, at + cut + 1));
      const { outcome, passed } = await runCompletion(parts);
      expect(passed).toEqual(passed.map((_, index) => index + 1));
      if (outcome.type === 'completed') expect(passed).toHaveLength(count);
      else expect(['broken', 'wrongAdapter']).toContain(outcome.type);
    }),
    { seed: 7, numRuns: 100 },
  );
});

function newState(): State {
  return State.create({
    host: { id: 'h1', zone: 'z', region: 'r', address: '127.0.0.1:1', incarnation: 1 },
    policy: {
      stallWeight: 0.5,
      loadsPerS: 1,
      maxRequestsPerCaller: 2,
      maxRequests: 10,
      lameDuckMs: 0,
    },
    randomSeed: 1,
  });
}

// Malformed rows, as another program or version may write them, must not stop the host or become its
// configuration.
it('ignores malformed rows in every reducer that reads the table', () => {
  const value = fc.oneof(
    fc.jsonValue(),
    fc.constantFrom({ revision: 1e308 }, { revision: -1 }, { members: [{}] }, { epoch: '1' }),
  );
  const key = fc.oneof(
    fc.string(),
    fc.constantFrom('draft/%', 'draft-of/h1/%E0', 'zone/z', 'host/z/', 'suspect/', 'audit/x'),
  );
  const rows = fc.array(fc.record({ key, value, version: fc.string() }), { maxLength: 3 });
  const readPurposes = new Set<string>();
  fc.assert(
    fc.property(fc.array(rows, { minLength: 1, maxLength: 6 }), (answers) => {
      const state = newState();
      let callCount = 0;
      const dispatch = (event: Event, now: number): void => {
        const effects: Effect[] = reduce(state, event, now);
        for (const effect of effects) {
          if (effect.type !== 'callTable' || callCount > 400) continue;
          const { purpose, call } = effect;
          readPurposes.add(purpose.type);
          const found = answers[callCount++ % answers.length] ?? [];
          const isOwnKey = call.type === 'get' && callCount % 2 === 0;
          const rows = isOwnKey ? found.map((row) => ({ ...row, key: call.key })) : found;
          const answer = { type: 'ok', rows } as const;
          dispatch({ type: 'tableAnswered', purpose, answer, sentAt: now }, now);
        }
      };
      dispatch({ type: 'started' }, 0);
      for (let now = 0; now < 20_000; now += 500) dispatch({ type: 'tick' }, now);
      expect(state.phase).toBe('running');
      expect(state.configuration.revision).toBe(0);
      expect(state.configuration.engines.size).toBe(0);
    }),
    { seed: 7, numRuns: 100 },
  );
  expect([...readPurposes].length).toBeGreaterThan(4);
});
