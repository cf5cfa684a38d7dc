import { once } from 'node:events';
import { createServer, get, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect, it } from 'vitest';
import { HttpResponseSink } from '../../src/callers/httpResponseSink.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

const CHUNK = 'x'.repeat(64 * 1024);
const CHUNK_COUNT = 800;

// Without backpressure, a caller that reads slowly makes the host buffer the rest of the stream.
it('pauses a stream until its slow reader accepts more data', async () => {
  const server = createServer().listen(0, '127.0.0.1');
  cleanUpAfterTest(async () => {
    server.closeAllConnections();
    server.close();
    await once(server, 'close');
  });
  await once(server, 'listening');
  const call = get(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  const answered = once(call, 'response') as Promise<[IncomingMessage]>;
  const [, response] = (await once(server, 'request')) as [IncomingMessage, ServerResponse];
  const sink = HttpResponseSink.create(response, true);
  let writtenCount = 0;
  let maxBuffered = 0;
  const writeAll = async () => {
    sink.start({ adapter: 'a', version: 'v1' });
    for (; writtenCount < CHUNK_COUNT; writtenCount++) {
      const drained = sink.write(CHUNK);
      maxBuffered = Math.max(maxBuffered, response.writableLength);
      await drained;
    }
    sink.finish();
  };
  const done = writeAll();
  const [answer] = await answered;
  let previousCount = -1;
  await waitUntil(() => {
    const isPaused = writtenCount === previousCount;
    previousCount = writtenCount;
    return isPaused && response.writableNeedDrain;
  });
  expect(writtenCount).toBeLessThan(CHUNK_COUNT);
  let received = '';
  answer.setEncoding('utf8').on('data', (data: string) => (received += data));
  await done;
  await once(answer, 'end');
  expect(received).toBe(`data: ${CHUNK}\n\n`.repeat(CHUNK_COUNT) + 'data: [DONE]\n\n');
  expect(maxBuffered).toBeLessThan(2 * CHUNK.length);
});
