import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect, it } from 'vitest';
import { CallerMemory, type Eviction } from '../../src/http/callerMemory.ts';
import { sendFailure } from '../../src/http/reply.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

/** Bodies of which a host with the least memory has room for one. */
const BODY = Buffer.alloc(5_000_000, 'x');
const READ_LIMITS = { maxBytes: BODY.length, timeoutMs: 10_000 };

/** Starts a server whose requests run until they are answered by the test. */
async function startServer() {
  const evictions: Eviction[] = [];
  const memory = CallerMemory.create({ memoryMb: 1 }, (eviction) => evictions.push(eviction));
  const running: ServerResponse[] = [];
  const server = createServer((request, response) => {
    void memory.readBody(request, READ_LIMITS).then((body) => {
      if (body.err) sendFailure(response, body.val, { connection: 'close' });
      else if (memory.admit(response, body.val.length)) running.push(response);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanUpAfterTest(async () => {
    memory.stop();
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
  const send = () => fetch(url, { method: 'POST', body: BODY });
  return { memory, evictions, running, send };
}

// Guards against a request that is told "not run" and runs, and against one that costs others which run.
it('a request without room for its body is refused before it runs', async () => {
  const { evictions, running, send } = await startServer();
  const first = send();
  await waitUntil(() => running.length === 1);
  const second = await send();
  expect(second.status).toBe(503);
  expect(await second.json()).toMatchObject({ error: { kind: 'overloaded', outcome: 'not_run' } });
  expect(running).toHaveLength(1);
  expect(evictions).toMatchObject([{ resource: 'bytes' }]);
  running[0]?.end('done');
  expect(await (await first).text()).toBe('done');
});

it('a request finds room once the one before it has ended', async () => {
  const { running, send } = await startServer();
  for (const count of [1, 2, 3]) {
    const answer = send();
    await waitUntil(() => running.length === count);
    running.at(-1)?.end('done');
    expect((await answer).status).toBe(200);
  }
});

// Guards against answers that callers do not read and that fill the memory of the host.
it('an answer gives way to the next one while its caller does not read', async () => {
  const { memory, running, send } = await startServer();
  const large = Buffer.alloc(6_000_000, 'y');
  const first = send();
  await waitUntil(() => running.length === 1);
  const [unread] = running;
  unread?.write(large);
  if (unread !== undefined) memory.holdAnswer(unread, large.length);
  const second = send();
  await waitUntil(() => running.length === 2 || unread?.destroyed === true);
  await waitUntil(() => unread?.destroyed === true);
  await waitUntil(() => running.length === 2);
  running.at(-1)?.end('done');
  expect((await second).status).toBe(200);
  await expect(first.then((answer) => answer.text())).rejects.toThrow();
});
