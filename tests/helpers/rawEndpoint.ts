import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { StandIn } from '../../stand-ins/server.ts';

/** A request as it arrived, with header names in lower case. */
export interface RawRequest {
  method: string;
  target: string;
  headers: Record<string, string>;
  /** Monotonic ms at which it had arrived as a whole. */
  arrivedAt: number;
  /** Monotonic ms at which its connection was closed; absent while that is open. */
  closedAt?: number;
}

/** One step of an answer: bytes that are sent, a pause in ms or until a promise resolves, or an end. */
export type RawStep = string | number | Promise<void> | RawEnd;

/** Ends the connection gracefully or by a reset, or ends the endpoint with all its connections. */
export type RawEnd = { type: 'fin' } | { type: 'reset' } | { type: 'exit' };
export const FIN: RawEnd = { type: 'fin' };
export const RESET: RawEnd = { type: 'reset' };
export const EXIT: RawEnd = { type: 'exit' };

/** Returns the steps with which an endpoint answers a request. */
export type RawAnswer = (request: RawRequest) => RawStep[];

const REPORT = JSON.stringify({ seq: 0, models: [{ name: 'base', adapters: [] }], coming: [] });

/** Endpoint that answers with raw bytes, for framings that an HTTP server does not produce. */
export class RawEndpoint implements StandIn {
  /** Requests apart from reports. */
  readonly requests: RawRequest[] = [];
  /** Answers to the next requests, in order; later ones get `answer`. */
  readonly plannedAnswers: RawAnswer[] = [];
  /** Source addresses of the connections, in the order of their arrival. */
  readonly sourceAddresses: string[] = [];
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;

  private constructor(private readonly answer: RawAnswer) {}

  static create(answer: RawAnswer): RawEndpoint {
    return new RawEndpoint(answer);
  }

  async start(): Promise<string> {
    const server = createServer((socket) => this.accept(socket));
    this.server = server;
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  stop(): Promise<void> {
    this.exit();
    return Promise.resolve();
  }

  private exit(): void {
    this.server?.close();
    this.server = undefined;
    for (const socket of this.sockets) socket.destroy();
  }

  private end(socket: Socket, { type }: RawEnd): void {
    if (type === 'fin') socket.end();
    else if (type === 'reset') socket.resetAndDestroy();
    else this.exit();
  }

  private accept(socket: Socket): void {
    this.sourceAddresses.push(socket.remoteAddress ?? '');
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    let received = '';
    let last: RawRequest | undefined;
    socket.on('close', () => {
      if (last !== undefined) last.closedAt = performance.now();
    });
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      const request = parseRequest(received);
      if (request === undefined) return;
      received = '';
      last = request;
      void this.respond(socket, request);
    });
  }

  private async respond(socket: Socket, request: RawRequest): Promise<void> {
    if (request.target === '/-/report') {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${REPORT.length}\r\n\r\n${REPORT}`);
      return;
    }
    this.requests.push(request);
    const answer = this.plannedAnswers.shift() ?? this.answer;
    for (const step of answer(request)) {
      if (typeof step === 'number') await sleep(step);
      else if (typeof step === 'string') socket.write(step, 'latin1');
      else if (step instanceof Promise) await step;
      else this.end(socket, step);
    }
  }
}

/** Returns the request once its head and body are complete. */
function parseRequest(received: string): RawRequest | undefined {
  const end = received.indexOf('\r\n\r\n');
  if (end === -1) return undefined;
  const [first = '', ...lines] = received.slice(0, end).split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const bodyLength = Number(headers['content-length'] ?? 0);
  if (received.length < end + 4 + bodyLength) return undefined;
  const [method = '', target = ''] = first.split(' ');
  return { method, target, headers, arrivedAt: performance.now() };
}

/** Returns the head of an answer with the labels that prove which endpoint and attempt it is of. */
export function getRawHead({ headers }: RawRequest, ...more: string[]): string {
  const lines = ['HTTP/1.1 200 OK', `attempt-id: ${headers['attempt-id'] ?? ''}`];
  return [...lines, 'response-seal: s', ...more, '', ''].join('\r\n');
}

/** End of a chunked body. */
export const LAST_RAW_CHUNK = '0\r\n\r\n';

/** Returns `text` as one chunk of a chunked body. */
export function getRawChunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Events of the streams that endpoints send in tests. */
export const LAST_EVENT = 4;

/** Returns the events `from` to `to`, whose lines end with `lineEnd`. */
export function newRawEvents(from: number, to: number, lineEnd = '\n'): string {
  const ids = Array.from({ length: to - from + 1 }, (_, index) => from + index);
  return ids.map((id) => `id: ${id}${lineEnd}data: token ${id}${lineEnd}${lineEnd}`).join('');
}

export const WHOLE_STREAM = newRawEvents(1, LAST_EVENT);

/** Sends the events after the one that the request names, in chunks. */
export const sendRest: RawAnswer = (request) => {
  const next = Number(request.headers['last-event-id'] ?? 0) + 1;
  const head = getRawHead(request, 'transfer-encoding: chunked');
  return [head, getRawChunk(newRawEvents(next, LAST_EVENT)), LAST_RAW_CHUNK];
};
