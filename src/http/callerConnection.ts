import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { Failure, getFailureBody } from '../errors/failure.ts';
import { getErrorResponse } from '../errors/kinds.ts';
import { MAX_SENT_AHEAD, REJECTED_LINGER_MS } from './constants.ts';
import { sendFailure } from './reply.ts';

/** Limits for receiving a request. */
export interface ReceiveLimits {
  /** Maximum total size of a request's headers. */
  headerBytes: number;
  /** Limit in ms for receiving the headers of a request. */
  slowSenderMs: number;
}

/**
 * A caller's connection. After an error response to a request that was not received as a whole, the
 * connection takes no further request: the response says that the request was not run.
 */
export class CallerConnection {
  /** The last request whose head arrived, and the response to it. */
  private request: IncomingMessage | undefined;
  private response: ServerResponse | undefined;
  private isRejected = false;
  /** Requests whose answers are not written out. */
  private unanswered = 0;

  private constructor(
    private readonly socket: Duplex & { bytesRead?: number },
    private readonly limits: ReceiveLimits,
  ) {}

  static create(socket: Duplex, limits: ReceiveLimits): CallerConnection {
    return new CallerConnection(socket, limits);
  }

  /** Whether neither a request nor a part of one arrived. */
  get isUnused(): boolean {
    return this.request === undefined && this.socket.bytesRead === 0;
  }

  /** Whether a request that arrived as a whole is being served, and its caller reads what is written. */
  get isServing(): boolean {
    return this.unanswered > 0 && !this.isReceivingBody && this.socket.writableLength === 0;
  }

  /** Records a request whose head arrived; returns false if it must not be handled. */
  receive(request: IncomingMessage, response: ServerResponse): boolean {
    if (this.isRejected) return false;
    this.request = request;
    this.response = response;
    this.unanswered += 1;
    response.once('close', () => (this.unanswered -= 1));
    if (this.unanswered <= MAX_SENT_AHEAD) return true;
    // Requests that are sent ahead without end would fill the memory before the first one is answered.
    this.isRejected = true;
    this.socket.destroy();
    return false;
  }

  /** Handles a request that is malformed or did not arrive in time. */
  handleError(error: NodeJS.ErrnoException): void {
    if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
      const { request } = this;
      // After the process was suspended, timers fire before the bytes that arrived meanwhile are read.
      setImmediate(() => this.handleTimeout(request));
      return;
    }
    const failure = getFailure(error, this.limits);
    if (this.isReceivingBody) this.rejectBody(failure);
    else this.reject(failure);
  }

  private get isReceivingBody(): boolean {
    return this.request?.complete === false;
  }

  /** `last` is the last request whose head had arrived when the time limit was reached. */
  private handleTimeout(last: IncomingMessage | undefined): void {
    const { request, response, socket, limits } = this;
    if (request !== last || socket.destroyed) return;
    if (this.isReceivingBody) {
      // The reader of the body has its own time limit; a body that nobody reads has no end.
      afterResponse(response, () => {
        if (this.isReceivingBody) socket.destroy();
      });
    } else if (this.isUnused) {
      // A response without a request could be taken for that to a request which is on its way.
      socket.destroy();
    } else {
      const text = `the request did not arrive within ${limits.slowSenderMs} ms`;
      this.reject(Failure.create('slow_sender', text));
    }
  }

  /** Rejects a request whose body is malformed; its reader finds the connection closed. */
  private rejectBody(failure: Failure): void {
    const { response } = this;
    this.isRejected = true;
    if (response === undefined || response.headersSent) {
      afterResponse(response, () => this.socket.destroy());
      return;
    }
    sendFailure(response, failure, { connection: 'close' });
  }

  private reject(failure: Failure): void {
    this.isRejected = true;
    // Writing the error into a response in progress would corrupt that response.
    afterResponse(this.response, () => this.sendRejection(failure));
  }

  private sendRejection(failure: Failure): void {
    const { socket } = this;
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    const body = JSON.stringify(getFailureBody(failure));
    socket.end(
      `HTTP/1.1 ${getErrorResponse(failure.kind).status} Error\r\ncontent-type: application/json\r\n` +
        `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
    );
    // Closing at once, with bytes that were not read, would reset the connection and lose the response.
    const linger = setTimeout(() => socket.destroy(), REJECTED_LINGER_MS);
    socket.once('close', () => clearTimeout(linger));
  }
}

function afterResponse(response: ServerResponse | undefined, run: () => void): void {
  if (response === undefined || response.writableFinished) run();
  else response.once('finish', run);
}

function getFailure({ code, message }: NodeJS.ErrnoException, limits: ReceiveLimits): Failure {
  if (code === 'HPE_HEADER_OVERFLOW') {
    const text = `the headers are larger than ${limits.headerBytes} bytes`;
    return Failure.create('headers_too_large', text);
  }
  return Failure.create('bad_request', `the request is not valid HTTP: ${message}`);
}
