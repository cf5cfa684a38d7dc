import { Agent } from 'undici';
import { build } from 'hdr-histogram-js';

export interface Target {
  address: string;
  authorization: string;
}

export interface RoundResult {
  requests: number;
  chunks: number;
  seconds: number;
  /** Percentiles in ms of the time to the first byte and to the end. */
  firstByteP95: number;
  p50: number;
  p99: number;
}

export interface RoundOptions {
  requests: number;
  concurrency: number;
  isStream: boolean;
  maxTokens: number;
}

/** Values are recorded in microseconds. */
const US = 1000;

/** Sends `requests` completions with a fixed concurrency and reads every answer whole. */
export async function runRound(target: Target, options: RoundOptions): Promise<RoundResult> {
  const agent = new Agent({ connections: options.concurrency, pipelining: 1 });
  const total = build();
  const first = build();
  let left = options.requests;
  let chunks = 0;
  const started = performance.now();
  const work = async () => {
    while (left-- > 0) {
      const result = await send(agent, target, options, left);
      first.recordValue(Math.round(result.firstByteMs * US));
      total.recordValue(Math.round(result.totalMs * US));
      chunks += result.chunks;
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, work));
  const seconds = (performance.now() - started) / 1000;
  await agent.close();
  return {
    requests: options.requests,
    chunks,
    seconds,
    firstByteP95: first.getValueAtPercentile(95) / US,
    p50: total.getValueAtPercentile(50) / US,
    p99: total.getValueAtPercentile(99) / US,
  };
}

async function send(agent: Agent, target: Target, options: RoundOptions, index: number) {
  const started = performance.now();
  const answer = await agent.request({
    origin: `http://${target.address}`,
    path: '/v1/completions',
    method: 'POST',
    headers: { authorization: target.authorization, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'order-status@v1',
      prompt: `where is order ${index}`,
      max_tokens: options.maxTokens,
      stream: options.isStream,
    }),
  });
  if (answer.statusCode !== 200)
    throw new Error(`${answer.statusCode} ${await answer.body.text()}`);
  let firstByteMs = 0;
  let chunks = 0;
  for await (const part of answer.body) {
    if (firstByteMs === 0) firstByteMs = performance.now() - started;
    chunks += (part as Buffer).toString('latin1').split('data: ').length - 1;
  }
  return { firstByteMs, totalMs: performance.now() - started, chunks };
}
