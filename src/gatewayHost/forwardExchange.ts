import type { ServerResponse } from 'node:http';
import type { Failure } from '../errors/failure.ts';
import type { BytesHolder, MemoryBudget } from '../http/memoryBudget.ts';
import { hasCallerLeft } from '../http/callerDeparture.ts';
import { sendFailure } from '../http/reply.ts';
import type { RawHeaders } from './platform.ts';

/** The complete response of an endpoint. */
export interface BufferedResponse {
  status: number;
  headers: string[];
  body: Buffer;
}

/** A caller's request and the response to it. */
export class ForwardExchange implements BytesHolder {
  readonly isComplete = true;
  /** Last complete response of an endpoint; sent when the reducer requests it. */
  private bufferedResponse: BufferedResponse | undefined;
  lastEventId: string | undefined;

  private constructor(
    readonly method: string,
    readonly target: string,
    readonly headers: RawHeaders,
    readonly body: Buffer,
    readonly attemptId: string,
    /** Whether the caller names the last event that it received of a stream. */
    readonly resumesStream: boolean,
    private readonly response: ServerResponse,
    private readonly isShuttingDown: () => boolean,
    private readonly budget: MemoryBudget,
  ) {
    budget.hold(this, body.length);
  }

  static create(options: {
    method: string;
    target: string;
    headers: RawHeaders;
    body: Buffer;
    attemptId: string;
    resumesStream: boolean;
    response: ServerResponse;
    /** Whether the host is shutting down, so that callers must not reuse the connection. */
    isShuttingDown: () => boolean;
    /** Bytes of all requests and responses of the host. */
    budget: MemoryBudget;
  }): ForwardExchange {
    const { method, target, headers, body, attemptId, resumesStream } = options;
    const { response, isShuttingDown, budget } = options;
    return new ForwardExchange(
      method,
      target,
      headers,
      body,
      attemptId,
      resumesStream,
      response,
      isShuttingDown,
      budget,
    );
  }

  /** Keeps the complete response of an endpoint. */
  setResponse(response: BufferedResponse): void {
    this.bufferedResponse = response;
    this.budget.hold(this, this.body.length + response.body.length);
  }

  /** Releases the memory that is accounted to it. */
  release(): void {
    this.budget.release(this);
  }

  /** Closes the connection of a caller that does not read its response. */
  evict(): void {
    this.response.destroy();
  }

  /** Whether the caller has closed its connection, as far as this host has read. */
  get hasCallerLeft(): boolean {
    return hasCallerLeft(this.response.req, this.response);
  }

  get hasResponseStarted(): boolean {
    return this.response.headersSent;
  }

  /** Sends status and headers of a stream unless an earlier attempt has sent them. */
  startResponse(status: number, headers: string[]): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.response.writeHead(status, this.addConnectionHeader(headers));
  }

  /** Sends bytes to the caller; returns false when the write buffer is full. */
  write(bytes: Buffer): boolean {
    return this.response.destroyed || this.response.write(bytes);
  }

  /** Calls `listener` once the write buffer is drained. */
  onceDrained(listener: () => void): void {
    this.response.once('drain', listener);
  }

  end(): void {
    if (!this.response.destroyed) this.response.end();
  }

  sendBufferedResponse(): void {
    if (this.bufferedResponse === undefined || this.hasResponseStarted || this.response.destroyed)
      return;
    const { status, headers, body } = this.bufferedResponse;
    const all = [...this.addConnectionHeader(headers)];
    const hasBody = this.method !== 'HEAD' && status !== 204 && status !== 304;
    if (hasBody) all.push('content-length', String(body.length));
    this.response.writeHead(status, all);
    this.response.end(hasBody ? body : undefined);
  }

  /**
   * Sends an error response. Aborts a response that has started, so that the caller detects that it
   * is incomplete.
   */
  fail(failure: Failure): void {
    if (this.hasResponseStarted) {
      this.abortResponse();
      return;
    }
    if (this.isShuttingDown()) this.response.setHeader('connection', 'close');
    sendFailure(this.response, failure);
  }

  /** Fails after an error on this host, which may have left the response in any state; never throws. */
  abandon(failure: Failure): void {
    try {
      this.fail(failure);
    } catch {
      this.response.destroy();
    }
  }

  /** Closes the connection without the end of the response; what was written before is sent. */
  private abortResponse(): void {
    const { socket, writableNeedDrain, req } = this.response;
    if (socket === null) this.response.destroy();
    // Without chunks, a graceful close would look like the end of the body.
    else if (req.httpVersion === '1.0') setImmediate(() => socket.resetAndDestroy());
    // A caller that does not read would keep the connection open.
    else if (writableNeedDrain) this.response.destroy();
    else socket.destroySoon();
  }

  private addConnectionHeader(headers: string[]): string[] {
    return this.isShuttingDown() ? [...headers, 'connection', 'close'] : headers;
  }
}
