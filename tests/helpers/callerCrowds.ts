import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** How long a crowd keeps what it has begun, in ms. */
const STAY_MS = 3_000;
/** Interval at which slow senders send one more byte. */
const DRIP_MS = 200;
/** Bytes of a chunked body that are written at once. */
const WRITE_BYTES = 256 * 1_024;

/** What one caller of a crowd does on its connection; `headers` are lines that its requests carry. */
type CallerScript = (socket: Socket, headers: string) => Promise<void>;

/** Callers that misbehave in the same way, at one listener. */
export interface Crowd {
  callers: number;
  run: CallerScript;
}

/** Header lines of a crowd's requests to a gateway. */
const GATEWAY_HEADERS = 'attempt-id: x\r\ndeadline-ms: 30000\r\n';

/** Opens the connections of a crowd, runs its scripts and closes what is still open; returns when all is over. */
export async function runCrowd(
  address: string,
  { callers, run }: Crowd,
  headers = GATEWAY_HEADERS,
): Promise<void> {
  const [host = '', port = ''] = address.split(':');
  const sockets: Socket[] = [];
  const scripts = Array.from({ length: callers }, async () => {
    const socket = connect({ host, port: Number(port) });
    sockets.push(socket);
    socket.on('error', () => undefined);
    await new Promise((resolve) => {
      socket.once('connect', resolve);
      socket.once('close', resolve);
    });
    if (!socket.destroyed) await run(socket, headers);
  });
  await Promise.all(scripts);
  for (const socket of sockets) socket.destroy();
}

function getHead(path: string, headers: string, framing: string): string {
  return `POST ${path} HTTP/1.1\r\nhost: desk.example\r\n${headers}${framing}\r\n\r\n`;
}

/** Sends a body of `bytes` with its length, in one piece, but for the last `missing` bytes. */
export function sendBody(path: string, bytes: number, missing = 1): CallerScript {
  return async (socket, headers) => {
    socket.resume();
    socket.write(getHead(path, headers, `content-length: ${bytes}`));
    await write(socket, Buffer.alloc(bytes - missing, 'x'));
    await sleep(STAY_MS);
  };
}

/** Sends a body of `bytes` in chunks of `chunkBytes`, without its end. */
export function sendChunks(path: string, bytes: number, chunkBytes: number): CallerScript {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const repeats = Math.max(1, Math.floor(WRITE_BYTES / chunk.length));
  const block = Buffer.from(chunk.repeat(repeats));
  return async (socket, headers) => {
    socket.resume();
    socket.write(getHead(path, headers, 'transfer-encoding: chunked'));
    for (let sent = 0; sent < bytes && !socket.destroyed; sent += repeats * chunkBytes)
      await write(socket, block);
    await sleep(STAY_MS);
  };
}

/** Sends a part of a body and then a byte now and then. */
export function dripBody(path: string, bytes: number, atOnce: number): CallerScript {
  return async (socket, headers) => {
    socket.resume();
    socket.write(getHead(path, headers, `content-length: ${bytes}`));
    await write(socket, Buffer.alloc(atOnce, 'x'));
    for (let waited = 0; waited < STAY_MS && !socket.destroyed; waited += DRIP_MS) {
      socket.write('x');
      await sleep(DRIP_MS);
    }
  };
}

/** Sends many requests ahead and reads no answer. */
export function sendAhead(path: string, requests: number): CallerScript {
  return async (socket, headers) => {
    const block = Buffer.from(getRequest(path, headers).repeat(1_000));
    socket.pause();
    for (let sent = 0; sent < requests && !socket.destroyed; sent += 1_000) {
      await Promise.race([write(socket, block), sleep(STAY_MS)]);
    }
    await sleep(STAY_MS);
  };
}

/** Asks once and reads nothing of the answer. */
export function readNothing(path: string): CallerScript {
  return async (socket, headers) => {
    socket.pause();
    socket.write(getRequest(path, headers));
    await sleep(STAY_MS);
  };
}

/** Sends a whole body of `bytes` and reads nothing of the answer. */
export function sendAndReadNothing(path: string, bytes: number): CallerScript {
  return async (socket, headers) => {
    socket.pause();
    socket.write(getHead(path, headers, `content-length: ${bytes}`));
    await Promise.race([write(socket, Buffer.alloc(bytes, 'x')), sleep(STAY_MS)]);
    await sleep(STAY_MS);
  };
}

/** Sends a request with very many short header fields, without the end of its head. */
export function sendFields(path: string, fields: number): CallerScript {
  return async (socket, headers) => {
    socket.resume();
    const lines = Array.from({ length: fields }, (_, index) => `x${index}: 1`).join('\r\n');
    socket.write(`GET ${path} HTTP/1.1\r\nhost: desk.example\r\n${headers}${lines}\r\n`);
    await sleep(STAY_MS);
  };
}

function getRequest(path: string, headers: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: desk.example\r\n${headers}\r\n`;
}

async function write(socket: Socket, bytes: Buffer): Promise<void> {
  if (socket.destroyed || socket.write(bytes)) return;
  await new Promise((resolve) => {
    socket.once('drain', resolve);
    socket.once('close', resolve);
  });
}
