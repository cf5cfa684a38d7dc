import { once } from 'node:events';
import { createServer, get, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect, it } from 'vitest';
import { HttpResponseSink } from '../../src/callers/httpResponseSink.ts';
import { cleanAfter, until } from '../support.ts';

const CHUNK = 'x'.repeat(64 * 1024);
const CHUNKS = 800;

// A caller that reads slowly must not make the host keep the rest of its stream in memory.
it('holds a stream back until its reader takes more', async () => {
  const server = createServer().listen(0, '127.0.0.1');
  cleanAfter(async () => {
    server.closeAllConnections();
    server.close();
    await once(server, 'close');
  });
  await once(server, 'listening');
  const call = get(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  const answered = once(call, 'response') as Promise<[IncomingMessage]>;
  const [, response] = (await once(server, 'request')) as [IncomingMessage, ServerResponse];
  const sink = HttpResponseSink.create(response, true);
  let written = 0;
  let most = 0;
  const writeAll = async () => {
    sink.start({ adapter: 'a', version: 'v1' });
    for (; written < CHUNKS; written++) {
      const room = sink.write(CHUNK);
      most = Math.max(most, response.writableLength);
      await room;
    }
    sink.finish();
  };
  const done = writeAll();
  const [answer] = await answered;
  let seen = -1;
  await until(() => {
    const isHeld = written === seen;
    seen = written;
    return isHeld && response.writableNeedDrain;
  });
  expect(written).toBeLessThan(CHUNKS);
  let received = '';
  answer.setEncoding('utf8').on('data', (data: string) => (received += data));
  await done;
  await once(answer, 'end');
  expect(received).toBe(`data: ${CHUNK}\n\n`.repeat(CHUNKS) + 'data: [DONE]\n\n');
  expect(most).toBeLessThan(2 * CHUNK.length);
});
