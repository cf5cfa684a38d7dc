import type { Failure } from '../errors/failure.ts';
import type { RequestFields } from '../observe/logger.ts';

/** Adapter and version that serve the request. */
export interface ResponseHead {
  adapter: string;
  version: string;
}

/** Destination of the response to one request. Each response ends with one `finish` or `fail`. */
export interface ResponseSink {
  /** Called once, before the first chunk. */
  start(head: ResponseHead): void;
  /** Writes a chunk. A returned promise resolves when the receiver accepts more data. */
  write(data: string): void | Promise<void>;
  finish(): void;
  fail(failure: Failure): void;
}

export type CompletionPath = '/v1/completions' | '/v1/chat/completions';

/** Body of a completion request and the sink of its response, kept by the host until it ends. */
export interface CompletionExchange {
  path: CompletionPath;
  /** Parsed body; `model` is replaced by the resolved adapter version when it is sent. */
  body: Record<string, unknown>;
  sink: ResponseSink;
  /** `traceparent` header that the engine receives. */
  traceparent: string | undefined;
  /** Fields of the log line that is written when the request ends. */
  logFields: RequestFields;
  /** Monotonic ms. */
  arrivedAt: number;
}
