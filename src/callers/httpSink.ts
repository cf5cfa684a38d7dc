import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { type Failure, getFailureBody } from '../errors/failure.ts';
import { sendFailure } from '../http/reply.ts';
import type { AnswerHead, AnswerSink } from './exchange.ts';

/** Writes an answer to a caller's HTTP response: server-sent events, or one JSON body. */
export class HttpSink implements AnswerSink {
  private constructor(
    private readonly response: ServerResponse,
    private readonly isStream: boolean,
  ) {}

  static create(response: ServerResponse, isStream: boolean): HttpSink {
    return new HttpSink(response, isStream);
  }

  start({ adapter, version }: AnswerHead): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.response.writeHead(200, {
      'content-type': this.isStream ? 'text/event-stream; charset=utf-8' : 'application/json',
      'cache-control': 'no-cache',
      'x-adapter': adapter,
      'x-adapter-version': version,
    });
  }

  async write(data: string): Promise<void> {
    if (this.response.destroyed) return;
    const hasRoom = this.response.write(this.isStream ? `data: ${data}\n\n` : data);
    if (hasRoom) return;
    const controller = new AbortController();
    const { signal } = controller;
    await Promise.race([
      once(this.response, 'drain', { signal }),
      once(this.response, 'close', { signal }),
    ]).catch(() => undefined);
    controller.abort();
  }

  finish(): void {
    this.response.end(this.isStream ? 'data: [DONE]\n\n' : undefined);
  }

  /** Before the first byte the failure is the answer; after it, it ends the stream without `[DONE]`. */
  fail(failure: Failure): void {
    if (!this.response.headersSent) {
      sendFailure(this.response, failure);
    } else if (this.isStream) {
      this.response.end(`data: ${JSON.stringify(getFailureBody(failure))}\n\n`);
    } else {
      this.response.destroy();
    }
  }
}
