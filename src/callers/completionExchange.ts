import type { Failure } from '../errors/failure.ts';
import type { RequestFields } from '../observe/logger.ts';

/** Adapter and version as the engine reported them. */
export interface ResponseHead {
  adapter: string;
  version: string;
}

/** Where the answer to one request goes. Each answer ends with one `finish` or one `fail`. */
export interface ResponseSink {
  /** Called once, before the first chunk. */
  start(head: ResponseHead): void;
  /** Passes on a chunk; a promise settles when the receiver can take more. */
  write(data: string): void | Promise<void>;
  finish(): void;
  fail(failure: Failure): void;
}

export type CompletionPath = '/v1/completions' | '/v1/chat/completions';

/** A request's body and the sink of its answer, kept by the host while the reducer decides. */
export interface CompletionExchange {
  path: CompletionPath;
  /** Parsed body; `model` is replaced by the resolved one when it is sent. */
  body: Record<string, unknown>;
  sink: ResponseSink;
  /** Context that the engine receives. */
  traceparent: string | undefined;
  /** Fields of the request's log line. */
  logFields: RequestFields;
  /** Monotonic ms. */
  arrivedAt: number;
}
