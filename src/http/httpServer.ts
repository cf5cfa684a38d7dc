import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { Failure } from '../errors/failure.ts';
import type { SocketAddress } from '../settings/values.ts';
import { CallerConnection, type ReceiveLimits } from './callerConnection.ts';
import {
  CONNECTION_CHECK_INTERVAL_MS,
  IDLE_CHECK_INTERVAL_MS,
  CALLER_KEEP_ALIVE_MS,
} from './constants.ts';
import { listen } from './listen.ts';
import { sendFailure } from './reply.ts';

/** Handles a request; an error that it throws or rejects with is answered with `internal`. */
type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

type Connections = Map<Duplex, CallerConnection>;

/** A listening HTTP server. */
export interface RunningServer {
  port: number;
  /** Stops accepting connections, closes them once idle, and resolves when all have ended. */
  stop: () => Promise<void>;
  /** Sets the keep-alive timeout in ms; it applies to new connections and requests. */
  setIdleTimeoutMs: (idleMs: number) => void;
}

/** Starts an HTTP server; rejects when the address stays in use. Port 0 takes any free port. */
export async function startServer(
  handle: RequestHandler,
  address: SocketAddress,
  limits: ReceiveLimits,
): Promise<RunningServer> {
  const connections: Connections = new Map();
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
      if (connections.get(request.socket)?.receive(request, response) === true)
        void handleRequest(handle, request, response);
    },
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    const connection = connections.get(socket);
    if (connection === undefined) socket.destroy();
    else connection.handleError(error);
  });
  server.on('connection', (socket) => {
    connections.set(socket, CallerConnection.create(socket, limits));
    socket.once('close', () => connections.delete(socket));
  });
  await listen(server, address);
  const { port } = server.address() as AddressInfo;
  return {
    port,
    stop: () => stopServer(server, connections),
    setIdleTimeoutMs: (idleMs) => {
      server.keepAliveTimeout = idleMs;
    },
  };
}

async function handleRequest(
  handle: RequestHandler,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    await handle(request, response);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    sendFailure(response, Failure.create('internal', `the request failed: ${reason}`));
    throw error;
  }
}

function stopServer(server: Server, connections: Connections): Promise<void> {
  const closeIdle = () => {
    server.closeIdleConnections();
    // Node.js does not treat a connection that never carried a request as idle.
    for (const [socket, { isUnused }] of connections) if (isUnused) socket.destroy();
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
