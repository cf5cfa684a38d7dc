import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { readBody } from '../../src/http/body.ts';
import { startServer } from '../../src/http/httpServer.ts';
import { sendFailure, sendJson } from '../../src/http/reply.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

const SLOW_SENDER_MS = 200;
/** Long enough for the server's check for slow senders to be due when the process wakes. */
const SUSPENSION_MS = 3 * SLOW_SENDER_MS;
const REST_OF_HEAD = 'Content-Length: 2\r\n\r\nok';

/** A caller's connection to a server that answers each request with the body that it read. */
interface Caller {
  socket: Socket;
  /** Everything that the caller received. */
  received: string;
  isClosed: boolean;
  /** Targets of the requests that the server handled. */
  handled: string[];
  statuses: () => string[];
}

async function startCaller(): Promise<Caller> {
  const handled: string[] = [];
  const server = await startServer(
    (request, response) => {
      void readBody(request, { maxBytes: 1_000, timeoutMs: 5_000 }).then((body) => {
        if (body.err) {
          sendFailure(response, body.val, { connection: 'close' });
          return;
        }
        handled.push(request.url ?? '');
        sendJson(response, 200, { target: request.url });
      });
    },
    { host: '127.0.0.1', port: 0 },
    { headerBytes: 8_192, slowSenderMs: SLOW_SENDER_MS },
  );
  const socket = connect(server.port, '127.0.0.1');
  cleanUpAfterTest(async () => {
    socket.destroy();
    await server.stop();
  });
  const caller: Caller = {
    socket,
    received: '',
    isClosed: false,
    handled,
    statuses: () =>
      [...caller.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, code]) => code ?? ''),
  };
  socket.setNoDelay(true);
  socket.on('data', (chunk) => (caller.received += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  socket.on('close', () => (caller.isClosed = true));
  await new Promise<void>((resolve) => socket.once('connect', resolve));
  await sleep(SLOW_SENDER_MS / 4);
  return caller;
}

/** Blocks the event loop, as a process is that was suspended. */
function suspendProcess(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, SUSPENSION_MS);
}

function getHead(target: string): string {
  return `POST ${target} HTTP/1.1\r\nHost: desk.example\r\n`;
}

// Guards against responses that say "not run" to requests which run all the same.
describe('requests that arrive while the process is suspended are answered once, and run', () => {
  const CASES: [string, (caller: Caller) => Promise<void>, number][] = [
    ['the first on its connection', () => Promise.resolve(), 1],
    [
      'one whose head had begun to arrive',
      async ({ socket }) => {
        socket.write(getHead('/late'));
        await sleep(SLOW_SENDER_MS / 4);
      },
      1,
    ],
    [
      'one on a connection that was used before',
      async (caller) => {
        caller.socket.write(getHead('/earlier') + REST_OF_HEAD);
        await waitUntil(() => caller.statuses().length === 1);
        caller.socket.write(getHead('/late'));
        await sleep(SLOW_SENDER_MS / 4);
      },
      2,
    ],
  ];

  it.each(CASES)('%s', async (name, prepare, answers) => {
    const caller = await startCaller();
    await prepare(caller);
    caller.socket.write((name.startsWith('the first') ? getHead('/late') : '') + REST_OF_HEAD);
    suspendProcess();
    await waitUntil(() => caller.statuses().length >= answers);
    await sleep(SLOW_SENDER_MS);
    expect(caller.statuses()).toEqual(Array.from({ length: answers }, () => '200'));
    expect(caller.handled.filter((target) => target === '/late')).toHaveLength(1);
    expect(caller.isClosed).toBe(false);
  });
});

// Guards against requests that are passed on after they were answered with a rejection.
describe('a request that was rejected while it arrived is never handled', () => {
  const CASES: [string, string, string, string][] = [
    ['a head that takes too long', getHead('/slow'), REST_OF_HEAD, '408'],
    [
      'a malformed head before a valid request',
      'garbage\r\n\r\n',
      getHead('/next') + REST_OF_HEAD,
      '400',
    ],
    [
      'a malformed chunk of a body',
      `${getHead('/chunks')}Transfer-Encoding: chunked\r\n\r\nzz\r\n`,
      `0\r\n\r\n${getHead('/next')}${REST_OF_HEAD}`,
      '400',
    ],
  ];

  it.each(CASES)('%s', async (_name, first, rest, status) => {
    const caller = await startCaller();
    caller.socket.write(first);
    await waitUntil(() => caller.statuses().length === 1);
    caller.socket.write(rest);
    await waitUntil(() => caller.isClosed);
    expect(caller.statuses()).toEqual([status]);
    expect(caller.handled).toEqual([]);
  });
});

// Guards against a second response, which the next request on the connection would get as its own.
it('a body that arrives slowly is answered once, and the connection serves the next request', async () => {
  const caller = await startCaller();
  caller.socket.write(`${getHead('/slow')}Content-Length: 8\r\n\r\n`);
  for (const byte of '12345678') {
    await sleep(SLOW_SENDER_MS);
    caller.socket.write(byte);
  }
  await waitUntil(() => caller.statuses().length === 1);
  await sleep(SLOW_SENDER_MS);
  caller.socket.write(getHead('/next') + REST_OF_HEAD);
  await waitUntil(() => caller.statuses().length === 2);
  await sleep(SLOW_SENDER_MS);
  expect(caller.statuses()).toEqual(['200', '200']);
  expect(caller.handled).toEqual(['/slow', '/next']);
});

// Guards against a response without a request, which the first request would get as its own.
it('a connection on which nothing arrives is closed without a response', async () => {
  const caller = await startCaller();
  await waitUntil(() => caller.isClosed);
  expect(caller.received).toBe('');
});
