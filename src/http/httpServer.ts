import { once } from 'node:events';
import { createServer, type RequestListener, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { Failure, getFailureBody } from '../errors/failure.ts';
import { getErrorResponse } from '../errors/kinds.ts';
import type { SocketAddress } from '../settings/values.ts';
import {
  CONNECTION_CHECK_INTERVAL_MS,
  IDLE_CHECK_INTERVAL_MS,
  CALLER_KEEP_ALIVE_MS,
} from './constants.ts';

interface ServerLimits {
  /** Bytes of all headers of a request. */
  headerBytes: number;
  /** Time for the headers of a request, in ms. */
  slowSenderMs: number;
}

/** The response that a connection is busy with, or the last one. */
type Responses = WeakMap<Duplex, ServerResponse>;

/** An HTTP server that listens. */
export interface RunningServer {
  port: number;
  /** Takes no new connections, closes each as soon as it is idle, and resolves when all have ended. */
  stop: () => Promise<void>;
  /** Sets how long an idle connection is kept, in ms; new connections and requests go by it. */
  setIdleTimeoutMs: (idleMs: number) => void;
}

/** Starts an HTTP server; rejects when the address is in use. Port 0 takes any free port. */
export async function startServer(
  listener: RequestListener,
  address: SocketAddress,
  limits: ServerLimits,
): Promise<RunningServer> {
  const unused = new Set<Socket>();
  const responses: Responses = new WeakMap();
  const server = createServer(
    {
      maxHeaderSize: limits.headerBytes,
      keepAliveTimeout: CALLER_KEEP_ALIVE_MS,
      headersTimeout: limits.slowSenderMs,
      // Ends a body that nobody reads any more; one that is read has its own limit.
      requestTimeout: 2 * limits.slowSenderMs,
      connectionsCheckingInterval: Math.min(limits.slowSenderMs, CONNECTION_CHECK_INTERVAL_MS),
    },
    (request, response) => {
      responses.set(request.socket, response);
      unused.delete(request.socket);
      listener(request, response);
    },
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    const response = responses.get(socket);
    const answer = () => answerBrokenRequest(error, socket, limits);
    // Bytes of this answer within another one would make that one unreadable.
    if (response === undefined || response.writableFinished) answer();
    else response.once('finish', answer);
  });
  server.on('connection', (socket) => {
    unused.add(socket);
    socket.once('close', () => unused.delete(socket));
  });
  server.listen(address.port, address.host);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    port,
    stop: () => stopServer(server, unused),
    setIdleTimeoutMs: (idleMs) => {
      server.keepAliveTimeout = idleMs;
    },
  };
}

function stopServer(server: Server, unused: ReadonlySet<Socket>): Promise<void> {
  const closeIdle = () => {
    server.closeIdleConnections();
    // Node.js takes a connection that never carried a request for a busy one.
    for (const socket of unused) if (socket.bytesRead === 0) socket.destroy();
  };
  return new Promise((resolve) => {
    // A connection whose answer began before the stop becomes idle later.
    const timer = setInterval(closeIdle, IDLE_CHECK_INTERVAL_MS);
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
    closeIdle();
  });
}

function answerBrokenRequest(
  error: NodeJS.ErrnoException,
  socket: Duplex,
  limits: ServerLimits,
): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const failure = getFailure(error, limits);
  const body = JSON.stringify(getFailureBody(failure));
  socket.end(
    `HTTP/1.1 ${getErrorResponse(failure.kind).status} Error\r\ncontent-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
  );
}

function getFailure({ code, message }: NodeJS.ErrnoException, limits: ServerLimits): Failure {
  if (code === 'HPE_HEADER_OVERFLOW') {
    const text = `the headers are larger than ${limits.headerBytes} bytes`;
    return Failure.create('headers_too_large', text);
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    const text = `the request did not arrive within ${limits.slowSenderMs} ms`;
    return Failure.create('slow_sender', text);
  }
  return Failure.create('bad_request', `the request is not valid HTTP: ${message}`);
}
