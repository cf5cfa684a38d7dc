import { Agent } from 'undici';
import { build } from 'hdr-histogram-js';

/** Server that the load is sent to. */
export interface Target {
  address: string;
  authorization: string;
}

/** Throughput and latency of one round. */
export interface RoundResult {
  requests: number;
  chunks: number;
  seconds: number;
  /** Percentiles in ms: time to the first byte (`firstByteP95`) and to the end (`p50`, `p99`). */
  firstByteP95: number;
  p50: number;
  p99: number;
}

/** Load of one round. */
export interface RoundOptions {
  requests: number;
  concurrency: number;
  isStream: boolean;
  maxTokens: number;
}

/** The histograms record microseconds. */
const US_PER_MS = 1000;

/** Sends `requests` completions with a fixed concurrency and reads every response to its end. */
export async function runRound(target: Target, options: RoundOptions): Promise<RoundResult> {
  const agent = new Agent({ connections: options.concurrency, pipelining: 1 });
  const total = build();
  const first = build();
  let remaining = options.requests;
  let chunks = 0;
  const started = performance.now();
  const sendRequests = async () => {
    while (remaining-- > 0) {
      const result = await send(agent, target, options, remaining);
      first.recordValue(Math.round(result.firstByteMs * US_PER_MS));
      total.recordValue(Math.round(result.totalMs * US_PER_MS));
      chunks += result.chunks;
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, sendRequests));
  const seconds = (performance.now() - started) / 1000;
  await agent.close();
  return {
    requests: options.requests,
    chunks,
    seconds,
    firstByteP95: first.getValueAtPercentile(95) / US_PER_MS,
    p50: total.getValueAtPercentile(50) / US_PER_MS,
    p99: total.getValueAtPercentile(99) / US_PER_MS,
  };
}

async function send(agent: Agent, target: Target, options: RoundOptions, index: number) {
  const started = performance.now();
  const response = await agent.request({
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
  if (response.statusCode !== 200)
    throw new Error(
      `completion responded with status ${response.statusCode}: ${await response.body.text()}`,
    );
  let firstByteMs = 0;
  let chunks = 0;
  for await (const part of response.body) {
    if (firstByteMs === 0) firstByteMs = performance.now() - started;
    chunks += (part as Buffer).toString('latin1').split('data: ').length - 1;
  }
  return { firstByteMs, totalMs: performance.now() - started, chunks };
}
