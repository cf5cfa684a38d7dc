import { afterEach, vi } from 'vitest';
import { EngineClient } from '../src/clients/engineClient.ts';
import type { CompletionOptions } from '../src/clients/completion.ts';
import { Engine } from '../stand-ins/engine/engine.ts';
import { FaultProxy } from '../stand-ins/proxy/faultProxy.ts';
import type { StandIn } from '../stand-ins/server.ts';
import { WeightStore } from '../stand-ins/weightStore.ts';

const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

/** Starts a stand-in, which is stopped after the test; returns its address. */
export async function startStandIn(standIn: StandIn): Promise<string> {
  const address = await standIn.start();
  cleanups.push(() => standIn.stop());
  return address;
}

/** Runs `cleanup` after the test, also if the test fails. */
export function cleanUpAfterTest(cleanup: () => Promise<void>): void {
  cleanups.push(cleanup);
}

/** Closes `client` after the test and returns it. */
export function closeAfterTest<T extends { close: () => Promise<void> }>(client: T): T {
  cleanups.push(() => client.close());
  return client;
}

/** Polls `condition` every 5 ms until it holds; throws after `timeout` ms. */
export function waitUntil(
  condition: () => boolean | Promise<boolean>,
  timeout = 20_000,
): Promise<void> {
  return vi.waitFor(
    async () => {
      if (!(await condition())) throw new Error(`the condition does not hold after ${timeout} ms`);
    },
    { timeout, interval: 5 },
  );
}

/** Starts a weight store, an engine with `label@1` resident, and a fault proxy in front of the engine. */
export async function startEngineStandIn(options: Parameters<typeof Engine.create>[0] = {}) {
  const store = WeightStore.create({ loadMs: 1, loadsPerS: 1_000 });
  const source = `http://${await startStandIn(store)}/weights/label`;
  const engine = Engine.create({ stepMs: 2, reportLagMs: 0, coldStartMs: 20, ...options });
  const direct = await startStandIn(engine);
  const proxy = FaultProxy.create({ target: direct });
  const address = await startStandIn(proxy);
  const client = closeAfterTest(EngineClient.create());
  await client.sendOrder(direct, 1, { type: 'load', model: 'label@1', source });
  return { store, source, engine, direct, proxy, address, client };
}

/** Starts a completion and collects its chunks. */
export function runCompletion(
  client: EngineClient,
  address: string,
  body: Record<string, unknown>,
  options: Partial<CompletionOptions> = {},
) {
  const chunks: string[] = [];
  const heads = { count: 0 };
  const running = client.startCompletion({
    address,
    path: '/v1/completions',
    body: { prompt: 'green tea', max_tokens: 12, stream: true, ...body },
    requestId: 'r1',
    model: 'label@1',
    priority: 5,
    deadline: performance.now() + 30_000,
    onResponseStarted: () => heads.count++,
    onChunk: (data) => {
      chunks.push(data);
    },
    ...options,
  });
  return { ...running, chunks, heads };
}

/** Returns the concatenated text of completion chunks. */
export function getChunkText(chunks: string[]): string {
  return chunks
    .map((data) => JSON.parse(data) as { choices: { text: string }[] })
    .map(({ choices }) => choices[0]?.text ?? '')
    .join('');
}
