import { setTimeout as sleep } from 'node:timers/promises';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';
import { ByteBuffer } from '../base/byteBuffer.ts';
import { joinHeaderValues } from '../http/headerValues.ts';
import { readRetryAfter } from '../http/retryAfter.ts';
import type { AttemptOutcome } from '../requests/types.ts';
import { ChunkSequencer, DONE_DATA } from './chunkSequencer.ts';
import {
  DRAIN_TIMEOUT_MS,
  MAX_CONSECUTIVE_RESUMES,
  MAX_EVENT_BYTES,
  MAX_RESPONSE_BYTES,
  PROGRESS_TIMEOUT_MS,
  RESUME_BACKOFF_BASE_MS,
} from './constants.ts';
import {
  type HttpClient,
  type HttpFailure,
  type OpenResponse,
  TIMEOUT_REASON,
} from './httpClient.ts';

/** Options of one attempt at an engine. */
export interface CompletionOptions {
  address: string;
  path: '/v1/completions' | '/v1/chat/completions';
  /** Body of the caller's request; `stream: true` requests a stream. */
  body: Record<string, unknown>;
  requestId: string;
  /** Trace context that is sent to the engine. */
  traceparent?: string;
  /** `adapter@version` */
  model: string;
  priority: number;
  /** Monotonic ms by which the response must be complete. */
  deadline: number;
  /** Called once before the first chunk, when the engine has confirmed adapter and version. */
  onResponseStarted: () => void;
  /**
   * Called with each chunk except the end marker, or with the whole JSON response. A returned promise
   * applies back-pressure to the stream.
   */
  onChunk: (data: string) => void | Promise<void>;
  /** Maximum time in ms without data from the engine; defaults to `PROGRESS_TIMEOUT_MS`. */
  progressTimeoutMs?: number;
}

const Chunk = z.object({
  model: z.string(),
  usage: z.object({ completion_tokens: z.int().min(0) }).nullish(),
});
const EngineFailure = z.object({ error: z.object({ message: z.string() }) });

/** Result of reading one response: the outcome of the attempt, or why the response failed. */
type ReadResult = { outcome: AttemptOutcome } | { failure: string };

function getMessage(body: string): string {
  try {
    return EngineFailure.parse(JSON.parse(body)).error.message;
  } catch {
    return body.slice(0, 200);
  }
}

/** One attempt at an engine; its stream is resumed on new connections when one fails. */
export class Completion {
  private readonly abort = new AbortController();
  private readonly sequencer = ChunkSequencer.create();
  private hasResponseStarted = false;
  private tokens = 0;
  /**
   * The response that is being read. It stays open until its replacement is open, because closing the
   * connection cancels the request.
   */
  private currentResponse: OpenResponse | undefined;

  private constructor(
    private readonly http: HttpClient,
    private readonly options: CompletionOptions,
  ) {}

  static create(http: HttpClient, options: CompletionOptions): Completion {
    return new Completion(http, options);
  }

  cancel(): void {
    this.abort.abort(new Error('cancelled'));
    this.closeCurrentResponse();
  }

  /** Runs the attempt until it ends; never rejects. */
  async run(): Promise<AttemptOutcome> {
    const deadline = setTimeout(
      () => {
        this.abort.abort(new Error('the deadline passed'));
        this.closeCurrentResponse();
      },
      Math.max(0, this.options.deadline - performance.now()),
    );
    try {
      return await this.runWithResumes();
    } catch (error) {
      return { type: 'broken', reason: error instanceof Error ? error.message : String(error) };
    } finally {
      clearTimeout(deadline);
      this.closeCurrentResponse();
    }
  }

  private async runWithResumes(): Promise<AttemptOutcome> {
    let opened = await this.open(false);
    if (opened.type === 'notSent') {
      return this.isAborted() ? this.getAbortOutcome() : { type: 'unreachable' };
    }
    let consecutiveResumes = 0;
    for (let isResume = opened.type === 'lost'; ; isResume = true) {
      let reason: string;
      const lastNumberBefore = this.sequencer.lastChunkNumber;
      if (opened.type === 'open') {
        this.closeCurrentResponse();
        this.currentResponse = opened;
        const result = await this.read(opened, isResume);
        if (this.isAborted()) return this.getAbortOutcome();
        if ('outcome' in result) return result.outcome;
        reason = result.failure;
      } else {
        reason = opened.reason;
      }
      if (this.isAborted()) return this.getAbortOutcome();
      if (this.sequencer.lastChunkNumber > lastNumberBefore) consecutiveResumes = 0;
      if (this.hasResponseStarted && !this.sequencer.isNumbered) return { type: 'broken', reason };
      // A response that is not streamed shows no progress; it is requested again until the deadline.
      const isWaiting = this.options.body.stream !== true && reason === TIMEOUT_REASON;
      if (isWaiting) consecutiveResumes = 0;
      if (consecutiveResumes === MAX_CONSECUTIVE_RESUMES) return { type: 'broken', reason };
      await sleep(RESUME_BACKOFF_BASE_MS * 2 ** consecutiveResumes++, undefined, {
        signal: this.abort.signal,
      }).catch(() => undefined);
      if (this.isAborted()) return this.getAbortOutcome();
      this.http.retireConnections(this.options.address);
      opened = await this.open(true);
    }
  }

  private open(isResume: boolean): Promise<OpenResponse | HttpFailure> {
    const { address, path, body, model, priority, requestId, traceparent, deadline } = this.options;
    const remainingMs = Math.max(1, Math.ceil(deadline - performance.now()));
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      'x-request-id': requestId,
      'x-request-deadline-ms': String(remainingMs),
    };
    if (traceparent !== undefined) headers.traceparent = traceparent;
    if (isResume) headers['last-event-id'] = String(this.sequencer.lastChunkNumber);
    return this.http.open({
      address,
      method: 'POST',
      path,
      headers,
      body: JSON.stringify({ ...body, model, priority }),
      timeoutMs: this.getProgressMs(),
      hasOwnConnection: isResume,
      signal: this.abort.signal,
    });
  }

  private async read(opened: OpenResponse, isResume: boolean): Promise<ReadResult> {
    if (opened.status !== 200) return this.readRefusal(opened, isResume);
    return this.options.body.stream === true ? this.readStream(opened) : this.readWholeBody(opened);
  }

  private async readRefusal(opened: OpenResponse, isResume: boolean): Promise<ReadResult> {
    const message = getMessage((await this.readText(opened).catch(() => undefined)) ?? '');
    if (isResume) {
      // The engine no longer has the request, so it cannot be resumed.
      return {
        outcome: {
          type: 'broken',
          reason: `the engine answered ${opened.status} to a resume: ${message}`,
        },
      };
    }
    if (opened.status === 404) return { outcome: { type: 'notResident' } };
    const { status, headers } = opened;
    const retryAfter = joinHeaderValues(headers['retry-after']);
    const pause = readRetryAfter(status, retryAfter, joinHeaderValues(headers.date));
    return { outcome: { type: 'refused', status, message, pause } };
  }

  private async readWholeBody(opened: OpenResponse): Promise<ReadResult> {
    let text: string | undefined;
    try {
      text = await this.readText(opened);
    } catch (error) {
      return { failure: error instanceof Error ? error.message : String(error) };
    }
    if (text === undefined) {
      const reason = `the response is larger than ${MAX_RESPONSE_BYTES} bytes`;
      return { outcome: { type: 'broken', reason } };
    }
    const outcome = await this.passOnChunk(text);
    return { outcome: outcome ?? this.getCompletedOutcome() };
  }

  private async readStream(opened: OpenResponse): Promise<ReadResult> {
    const events: { id: string | undefined; data: string }[] = [];
    const parser = createParser({ onEvent: ({ id, data }) => events.push({ id, data }) });
    const decoder = new TextDecoder();
    const parts = opened.body[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
    let unparsedBytes = 0;
    try {
      for await (const part of this.readParts(parts)) {
        parser.feed(decoder.decode(part, { stream: true }));
        unparsedBytes = events.length > 0 ? 0 : unparsedBytes + part.length;
        if (unparsedBytes > MAX_EVENT_BYTES) {
          const reason = `an event is larger than ${MAX_EVENT_BYTES} bytes`;
          return { outcome: { type: 'broken', reason } };
        }
        for (const { id, data } of events.splice(0)) {
          const ordered = this.sequencer.push(id, data);
          if (ordered === undefined) {
            const reason = `the engine numbered only some chunks: ${getMessage(data)}`;
            return { outcome: { type: 'broken', reason } };
          }
          for (const next of ordered) {
            if (next === DONE_DATA) {
              this.drainBody(opened, parts);
              if (!this.hasResponseStarted) {
                return { outcome: { type: 'broken', reason: 'the stream ended without a chunk' } };
              }
              return { outcome: this.getCompletedOutcome() };
            }
            const outcome = await this.passOnChunk(next);
            if (outcome !== undefined) return { outcome };
          }
        }
      }
    } catch (error) {
      return { failure: error instanceof Error ? error.message : String(error) };
    }
    return { failure: 'the stream ended without an end marker' };
  }

  /** Yields the parts of the body; throws when none arrives within the progress timeout. */
  private async *readParts(parts: AsyncIterator<Uint8Array>): AsyncGenerator<Uint8Array> {
    for (;;) {
      let timer: NodeJS.Timeout | undefined;
      const timeout = new Promise<never>((_, reject) => {
        timer = setTimeout(() => reject(new Error(TIMEOUT_REASON)), this.getProgressMs());
      });
      const next = parts.next();
      next.catch(() => undefined);
      const part = await Promise.race([next, timeout]).finally(() => clearTimeout(timer));
      if (part.done === true) return;
      yield part.value;
    }
  }

  /** Returns the text of a response, or undefined if it is larger than the limit. */
  private async readText(opened: OpenResponse): Promise<string | undefined> {
    const body = opened.body[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
    const received = ByteBuffer.create();
    for await (const part of this.readParts(body)) {
      received.append(part);
      if (received.length > MAX_RESPONSE_BYTES) return undefined;
    }
    return received.content.toString();
  }

  /** Checks the model of a chunk and passes it on; returns an outcome if the attempt must end. */
  private async passOnChunk(data: string): Promise<AttemptOutcome | undefined> {
    let chunk: z.infer<typeof Chunk>;
    try {
      chunk = Chunk.parse(JSON.parse(data));
    } catch {
      return { type: 'broken', reason: `the engine sent an invalid chunk: ${getMessage(data)}` };
    }
    if (chunk.model !== this.options.model) return { type: 'wrongAdapter', reported: chunk.model };
    if (this.isAborted()) return this.getAbortOutcome();
    this.tokens = chunk.usage?.completion_tokens ?? this.tokens + 1;
    try {
      if (!this.hasResponseStarted) this.options.onResponseStarted();
      this.hasResponseStarted = true;
      await this.options.onChunk(data);
      return undefined;
    } catch {
      // The caller may have missed the chunk, so the stream cannot continue.
      return { type: 'broken', reason: 'the response could not be passed on to the caller' };
    }
  }

  private getCompletedOutcome(): AttemptOutcome {
    const { model } = this.options;
    const at = model.lastIndexOf('@');
    return {
      type: 'completed',
      adapter: model.slice(0, at),
      version: model.slice(at + 1),
      tokens: this.tokens,
    };
  }

  private getAbortOutcome(): AttemptOutcome {
    const reason = (this.abort.signal.reason as Error).message;
    return reason === 'cancelled' ? { type: 'cancelled' } : { type: 'broken', reason };
  }

  private getProgressMs(): number {
    return this.options.progressTimeoutMs ?? PROGRESS_TIMEOUT_MS;
  }

  private isAborted(): boolean {
    return this.abort.signal.aborted;
  }

  /** Reads the rest of a complete response, so that its connection can be reused. */
  private drainBody(opened: OpenResponse, parts: AsyncIterator<Uint8Array>): void {
    this.currentResponse = undefined;
    const timer = setTimeout(
      () => opened.body.on('error', () => undefined).destroy(),
      DRAIN_TIMEOUT_MS,
    );
    const readToEnd = async () => {
      while ((await parts.next()).done !== true);
    };
    readToEnd()
      .catch(() => undefined)
      .finally(() => {
        clearTimeout(timer);
        opened.close();
      });
  }

  private closeCurrentResponse(): void {
    this.currentResponse?.body.on('error', () => undefined).destroy();
    this.currentResponse?.close();
    this.currentResponse = undefined;
  }
}
