import type { ServerResponse } from 'node:http';
import type { Failure } from '../errors/failure.ts';
import { sendFailure } from '../http/reply.ts';
import type { RawHeaders } from './platform.ts';

/** The answer of an endpoint that is kept whole. */
export interface BufferedResponse {
  status: number;
  headers: string[];
  body: Buffer;
}

/** A caller's request and the answer to it. */
export class ForwardExchange {
  /** Last whole answer of an endpoint; passed on when the reducer says so. */
  bufferedResponse: BufferedResponse | undefined;
  lastEventId: string | undefined;

  private constructor(
    readonly method: string,
    readonly target: string,
    readonly headers: RawHeaders,
    readonly body: Buffer,
    readonly attemptId: string,
    private readonly response: ServerResponse,
    private readonly isClosing: () => boolean,
  ) {}

  static create(options: {
    method: string;
    target: string;
    headers: RawHeaders;
    body: Buffer;
    attemptId: string;
    response: ServerResponse;
    /** Whether the host stops, so that callers must not reuse the connection. */
    isClosing: () => boolean;
  }): ForwardExchange {
    const { method, target, headers, body, attemptId, response, isClosing } = options;
    return new ForwardExchange(method, target, headers, body, attemptId, response, isClosing);
  }

  get hasResponseStarted(): boolean {
    return this.response.headersSent;
  }

  /** Sends the head of a stream unless an earlier attempt did. */
  startResponse(status: number, headers: string[]): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.response.writeHead(status, this.withConnection(headers));
  }

  /** Passes bytes on; returns false when the caller reads too slowly. */
  write(bytes: Buffer): boolean {
    return this.response.destroyed || this.response.write(bytes);
  }

  /** Calls `listener` once the caller reads again. */
  onceDrained(listener: () => void): void {
    this.response.once('drain', listener);
  }

  end(): void {
    if (!this.response.destroyed) this.response.end();
  }

  /** Passes on the whole answer that was kept. */
  sendBufferedResponse(): void {
    if (this.bufferedResponse === undefined || this.hasResponseStarted || this.response.destroyed)
      return;
    const { status, headers, body } = this.bufferedResponse;
    const all = [...this.withConnection(headers)];
    const hasBody = this.method !== 'HEAD' && status !== 204 && status !== 304;
    if (hasBody) all.push('content-length', String(body.length));
    this.response.writeHead(status, all);
    this.response.end(hasBody ? body : undefined);
  }

  /** Answers with a failure; an answer that has begun is broken off, so that it looks incomplete. */
  fail(failure: Failure): void {
    if (this.hasResponseStarted) {
      this.response.destroy();
      return;
    }
    if (this.isClosing()) this.response.setHeader('connection', 'close');
    sendFailure(this.response, failure);
  }

  private withConnection(headers: string[]): string[] {
    return this.isClosing() ? [...headers, 'connection', 'close'] : headers;
  }
}
