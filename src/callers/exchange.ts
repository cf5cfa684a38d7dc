import type { Failure } from '../errors/failure.ts';
import type { RequestFields } from '../observe/logger.ts';

/** Adapter and version as the engine reported them. */
export interface AnswerHead {
  adapter: string;
  version: string;
}

/** Where the answer to one request goes. Each answer ends with one `finish` or one `fail`. */
export interface AnswerSink {
  /** Called once, before the first chunk. */
  start(head: AnswerHead): void;
  /** Passes on a chunk; a promise settles when the receiver can take more. */
  write(data: string): void | Promise<void>;
  finish(): void;
  fail(failure: Failure): void;
}

export type CompletionPath = '/v1/completions' | '/v1/chat/completions';

/** A request's body and the sink of its answer, kept by the host while the reducer decides. */
export interface Exchange {
  path: CompletionPath;
  /** Parsed body; `model` is replaced by the resolved one when it is sent. */
  body: Record<string, unknown>;
  sink: AnswerSink;
  /** Context that the engine receives. */
  traceparent: string | undefined;
  /** Fields of the request's log line. */
  log: RequestFields;
  /** Monotonic ms. */
  arrivedAt: number;
}
