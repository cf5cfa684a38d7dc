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
  /** Maximum total size of a request's headers. */
  headerBytes: number;
  /** Limit in ms for receiving the headers of a request. */
  slowSenderMs: number;
}

/** The current or last response of each connection. */
type ResponseBySocket = WeakMap<Duplex, ServerResponse>;

/** A listening HTTP server. */
export interface RunningServer {
  port: number;
  /** Stops accepting connections, closes them once idle, and resolves when all have ended. */
  stop: () => Promise<void>;
  /** Sets the keep-alive timeout in ms; it applies to new connections and requests. */
  setIdleTimeoutMs: (idleMs: number) => void;
}

/** Starts an HTTP server; rejects when the address is in use. Port 0 takes any free port. */
export async function startServer(
  listener: RequestListener,
  address: SocketAddress,
  limits: ServerLimits,
): Promise<RunningServer> {
  const neverUsed = new Set<Socket>();
  const responseBySocket: ResponseBySocket = new WeakMap();
  const server = createServer(
    {
      maxHeaderSize: limits.headerBytes,
      keepAliveTimeout: CALLER_KEEP_ALIVE_MS,
      headersTimeout: limits.slowSenderMs,
      // Ends bodies that are no longer read; a body that is read has its own timeout.
      requestTimeout: 2 * limits.slowSenderMs,
      connectionsCheckingInterval: Math.min(limits.slowSenderMs, CONNECTION_CHECK_INTERVAL_MS),
    },
    (request, response) => {
      responseBySocket.set(request.socket, response);
      neverUsed.delete(request.socket);
      listener(request, response);
    },
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    const response = responseBySocket.get(socket);
    const reject = () => rejectInvalidRequest(error, socket, limits);
    // Writing the error into a response in progress would corrupt that response.
    if (response === undefined || response.writableFinished) reject();
    else response.once('finish', reject);
  });
  server.on('connection', (socket) => {
    neverUsed.add(socket);
    socket.once('close', () => neverUsed.delete(socket));
  });
  server.listen(address.port, address.host);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    port,
    stop: () => stopServer(server, neverUsed),
    setIdleTimeoutMs: (idleMs) => {
      server.keepAliveTimeout = idleMs;
    },
  };
}

function stopServer(server: Server, neverUsed: ReadonlySet<Socket>): Promise<void> {
  const closeIdle = () => {
    server.closeIdleConnections();
    // Node.js does not treat a connection that never carried a request as idle.
    for (const socket of neverUsed) if (socket.bytesRead === 0) socket.destroy();
  };
  return new Promise((resolve) => {
    // A connection whose response started before the stop becomes idle later.
    const timer = setInterval(closeIdle, IDLE_CHECK_INTERVAL_MS);
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
    closeIdle();
  });
}

function rejectInvalidRequest(
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
