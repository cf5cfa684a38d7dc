import { request as httpRequest, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { GatewayDeployment, HOST, MODEL } from '../gatewayHost/deployment.ts';
import { startFlood } from '../helpers/floodingProcess.ts';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { getPeakMb } from '../helpers/processMemory.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

/** Memory of a machine of the users' sites. */
const MAX_PEAK_MB = 350;
/** Time after which callers give up on a host that has not read their request. */
const MAX_SOUND_MS = 1_000;
const SOUND_INTERVAL_MS = 20;
/** Time for which callers stay with a stream that floods. */
const STAY_MS = 2_500;
const SLOW_READ_MS = 50;

/** How a caller reads: its stream is read on at once, after a pause for each part, or no more. */
type Reading = 'fast' | 'slow' | 'none';

const readers: Record<Reading, (response: IncomingMessage) => void> = {
  fast: (response) => response.resume(),
  slow: (response) => {
    response.on('data', () => {
      response.pause();
      setTimeout(() => response.resume(), SLOW_READ_MS);
    });
  },
  none: (response) => response.pause(),
};

/** Opens a stream, reads it as `reading` says, and leaves after STAY_MS unless it has ended. */
function stayWithStream(front: string, attempt: string, reading: Reading): Promise<void> {
  const [hostname = '', port = ''] = front.split(':');
  const headers = {
    host: HOST,
    'attempt-id': attempt,
    'deadline-ms': '5000',
    model: MODEL,
    'token-count': '100,10',
    'prompt-prefix': 'ab:100',
  };
  return new Promise((resolve) => {
    const options = { hostname, port, path: '/labels/1', method: 'POST', agent: false, headers };
    const call = httpRequest(options, (response) => {
      response.on('error', () => undefined).on('end', resolve);
      readers[reading](response);
    });
    call.on('error', () => undefined).on('close', resolve);
    setTimeout(() => call.destroy(), STAY_MS);
    call.end('{}');
  });
}

/** Sends sound requests one after another until `until` resolves; returns status and time of each. */
async function probe(deployment: GatewayDeployment, until: Promise<unknown>) {
  const answers: { status: number; ms: number }[] = [];
  const flood = { isOver: false };
  void until.finally(() => (flood.isOver = true));
  while (!flood.isOver) {
    const startedAt = performance.now();
    const { status } = await deployment.send({ path: '/status/1' });
    answers.push({ status, ms: performance.now() - startedAt });
    await sleep(SOUND_INTERVAL_MS);
  }
  return answers;
}

// Guards against a gateway that does nothing else while one engine floods the bodies of its streams.
describe('an engine that sends within a stream without end does not stop a gateway', () => {
  it.each<[string, string, Reading, number]>([
    ['blank lines', 'blankLines', 'fast', 8],
    ['blank lines, callers that read slowly', 'blankLines', 'slow', 8],
    ['blank lines, callers that stop reading', 'blankLines', 'none', 8],
    ['blank lines before the first event', 'blankLinesFirst', 'fast', 8],
    ['blank lines that end with CRLF', 'blankCrLfLines', 'fast', 8],
    ['comments', 'comments', 'fast', 8],
    ['comments, callers that stop reading', 'comments', 'none', 8],
    ['comments before the first event', 'commentsFirst', 'fast', 8],
    ['events', 'events', 'fast', 8],
    ['events, callers that read slowly', 'events', 'slow', 8],
    ['events, callers that stop reading', 'events', 'none', 8],
    ['events of one stream', 'events', 'fast', 1],
    ['events of a hundred streams', 'events', 'fast', 100],
    ['events of a hundred streams, callers that stop reading', 'events', 'none', 100],
    ['blank lines of a hundred streams', 'blankLines', 'fast', 100],
  ])('%s', async (_name, kind, reading, streams) => {
    const deployment = await GatewayDeployment.create();
    deployment.configure(1);
    await deployment.addServer('desk', 'sound');
    deployment.register('llm', 'flood', await startFlood(kind), { slots: streams });
    const gateway = await GatewayProcess.start('h0', deployment.storeAddress, {
      FIREFLYWICK_LOG_LEVEL: 'error',
    });
    cleanUpAfterTest(() => gateway.kill());
    deployment.fronts.push(gateway.frontAddress);
    await waitUntil(async () => (await gateway.getReadyStatus()) === 200);
    expect((await deployment.send({ path: '/status/1' })).status).toBe(200);
    const flooded = Array.from({ length: streams }, (_, index) =>
      stayWithStream(gateway.frontAddress, `f${index}`, reading),
    );
    const answers = await probe(deployment, Promise.all(flooded));
    expect(gateway.isRunning).toBe(true);
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
    expect(Math.max(...answers.map(({ ms }) => ms))).toBeLessThan(MAX_SOUND_MS);
    expect(getPeakMb(gateway.pid)).toBeLessThan(MAX_PEAK_MB);
  });
});
