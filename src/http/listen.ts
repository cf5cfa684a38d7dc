import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { Failure } from '../errors/failure.ts';
import { getFailureBody } from '../errors/failure.ts';
import { getAnswer } from '../errors/kinds.ts';
import type { Address } from '../settings/values.ts';
import { KEEP_ALIVE_MS } from './constants.ts';

/** Starts an HTTP server; rejects when the address is in use. Port 0 takes any free port. */
export function startServer(
  listener: RequestListener,
  address: Address,
  maxHeaderBytes: number,
): Promise<Server> {
  const server = createServer(
    { maxHeaderSize: maxHeaderBytes, keepAliveTimeout: KEEP_ALIVE_MS },
    listener,
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    answerBrokenRequest(error, socket, maxHeaderBytes);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => resolve(server));
  });
}

/** Returns the port that `server` listens on. */
export function getPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Stops accepting connections, closes idle ones, and resolves when all have ended. */
export function stopServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

function answerBrokenRequest(
  error: NodeJS.ErrnoException,
  socket: Socket,
  maxHeaderBytes: number,
): void {
  if (!socket.writable) return;
  const failure =
    error.code === 'HPE_HEADER_OVERFLOW'
      ? Failure.create('headers_too_large', `the headers are larger than ${maxHeaderBytes} bytes`)
      : Failure.create('bad_request', `the request is not valid HTTP: ${error.message}`);
  const body = JSON.stringify(getFailureBody(failure));
  socket.end(
    `HTTP/1.1 ${getAnswer(failure.kind).status} Error\r\ncontent-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
  );
}
