import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { Failure } from '../errors/failure.ts';
import type { AcceptBacklog } from '../eventLoop/acceptBacklog.ts';
import type { PollClock } from '../eventLoop/pollClock.ts';
import type { SocketAddress } from '../settings/values.ts';
import type { ArrivalQueue } from './arrivalQueue.ts';
import type { ConnectionLimit } from './connectionLimit.ts';
import { CallerConnection, type ReceiveLimits } from './callerConnection.ts';
import { hasCallerLeft } from './callerDeparture.ts';
import {
  CONNECTION_CHECK_INTERVAL_MS,
  IDLE_CHECK_INTERVAL_MS,
  CALLER_KEEP_ALIVE_MS,
} from './constants.ts';
import { listen } from './listen.ts';
import { sendFailure } from './reply.ts';

/** When the head of a request was read. */
export interface Reading {
  /** Monotonic ms. */
  at: number;
  /** Longest time in ms for which it may have waited before. */
  delayMs: number;
}

/** Handles a request; an error that it throws or rejects with is answered with `internal`. */
type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  reading: Reading,
) => void | Promise<void>;

/** How a server lets requests wait for their turn. */
export interface Intake {
  backlog: AcceptBacklog;
  arrivals: ArrivalQueue;
  pollClock: PollClock;
  /** Called when the head of a request was read, before the request waits for its turn. */
  onHead?: (request: IncomingMessage) => void;
  /** Returns the time in ms that the caller of a request waits; Infinity if it set no limit. */
  getWaitMs: (request: IncomingMessage) => number;
  /** Called for each request that is rejected because the host is overloaded. */
  onRejected: (request: IncomingMessage, failure: Failure) => void;
  /** Called for each connection that is closed unread because the host is overloaded. */
  onClosed: () => void;
}

type Connections = Map<Duplex, CallerConnection>;

/** A listening HTTP server. */
export interface RunningServer {
  port: number;
  /** Stops accepting connections, closes them once idle, and resolves when all have ended. */
  stop: () => Promise<void>;
  /** Sets the keep-alive timeout in ms; it applies to new connections and requests. */
  setIdleTimeoutMs: (idleMs: number) => void;
}

/**
 * Starts an HTTP server; rejects when the address stays in use. Port 0 takes any free port. Without an
 * `intake`, requests are handled as soon as their head is read; without a `connectionLimit`, connections are
 * not limited.
 */
export async function startServer(
  handle: RequestHandler,
  address: SocketAddress,
  limits: ReceiveLimits,
  intake?: Intake,
  connectionLimit?: ConnectionLimit,
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
      if (connections.get(request.socket)?.receive(request, response) !== true) return;
      const reading = { at: performance.now(), delayMs: intake?.pollClock.getReadDelayMs() ?? 0 };
      const take = (): void => void handleRequest(handle, request, response, reading);
      if (intake === undefined) {
        take();
        return;
      }
      intake.onHead?.(request);
      queueRequest(intake, request, response, take);
    },
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    const connection = connections.get(socket);
    if (connection === undefined) socket.destroy();
    else connection.handleError(error);
  });
  server.on('connection', (socket) => {
    if (intake !== undefined && !mayKeep(intake)) {
      socket.destroy();
      return;
    }
    const connection = CallerConnection.create(socket, limits);
    if (connectionLimit?.add(socket, () => connection.isServing) === false) return;
    connections.set(socket, connection);
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

/**
 * Records a new connection and returns whether to keep it. A host that can't keep up with the connections that
 * are opened would read each one only after its caller has left; callers of those that it closes unread try
 * another host at once.
 */
function mayKeep({ backlog, arrivals, onClosed }: Intake): boolean {
  backlog.recordConnection();
  if (!backlog.isOverloaded || !arrivals.isLate) return true;
  onClosed();
  return false;
}

function queueRequest(
  { arrivals, getWaitMs, onRejected }: Intake,
  request: IncomingMessage,
  response: ServerResponse,
  take: () => void,
): void {
  arrivals.push({
    getWaitMs: () => getWaitMs(request),
    // A request that is malformed further on may have been answered meanwhile.
    hasCallerLeft: () => response.headersSent || hasCallerLeft(request, response),
    take,
    reject: (failure) => {
      onRejected(request, failure);
      sendFailure(response, failure);
    },
  });
}

async function handleRequest(
  handle: RequestHandler,
  request: IncomingMessage,
  response: ServerResponse,
  reading: Reading,
): Promise<void> {
  try {
    await handle(request, response, reading);
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
