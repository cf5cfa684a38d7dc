import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { type Failure, getFailureBody } from '../errors/failure.ts';
import { sendFailure } from '../http/reply.ts';
import type { ResponseHead, ResponseSink } from './completionExchange.ts';

/** Writes a completion to a caller's HTTP response, as server-sent events or as one JSON body. */
export class HttpResponseSink implements ResponseSink {
  /** Buffers a response that is not streamed until it is complete. */
  private bufferedBody = '';
  private head: ResponseHead | undefined;

  private constructor(
    private readonly response: ServerResponse,
    private readonly isStream: boolean,
  ) {}

  static create(response: ServerResponse, isStream: boolean): HttpResponseSink {
    return new HttpResponseSink(response, isStream);
  }

  start(head: ResponseHead): void {
    if (this.isStream) this.writeHead(head);
    else this.head = head;
  }

  write(data: string): void | Promise<void> {
    if (this.response.destroyed) return;
    if (!this.isStream) this.bufferedBody += data;
    else if (!this.response.write(`data: ${data}\n\n`)) return this.waitForDrain();
  }

  private async waitForDrain(): Promise<void> {
    const controller = new AbortController();
    const { signal } = controller;
    await Promise.race([
      once(this.response, 'drain', { signal }),
      once(this.response, 'close', { signal }),
    ]).catch(() => undefined);
    controller.abort();
  }

  finish(): void {
    if (this.isStream) {
      this.response.end('data: [DONE]\n\n');
    } else if (this.head !== undefined) {
      this.writeHead(this.head, { 'content-length': String(Buffer.byteLength(this.bufferedBody)) });
      this.response.end(this.bufferedBody);
    }
  }

  /** Sends the failure as the response, or as the last event of a stream, without `[DONE]`. */
  fail(failure: Failure): void {
    if (!this.response.headersSent) {
      sendFailure(this.response, failure);
    } else {
      this.response.end(`data: ${JSON.stringify(getFailureBody(failure))}\n\n`);
    }
  }

  private writeHead(
    { adapter, version }: ResponseHead,
    headers: Record<string, string> = {},
  ): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.response.writeHead(200, {
      'content-type': this.isStream ? 'text/event-stream; charset=utf-8' : 'application/json',
      'cache-control': 'no-cache',
      'x-adapter': adapter,
      'x-adapter-version': version,
      ...headers,
    });
  }
}
