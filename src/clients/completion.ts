import { setTimeout as sleep } from 'node:timers/promises';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';
import type { AttemptOutcome } from '../requests/types.ts';
import { ChunkSequencer, DONE_DATA } from './chunkSequencer.ts';
import {
  DRAIN_TIMEOUT_MS,
  MAX_CONSECUTIVE_RESUMES,
  PROGRESS_TIMEOUT_MS,
  RESUME_BACKOFF_BASE_MS,
} from './constants.ts';
import {
  type HttpClient,
  type HttpFailure,
  type OpenResponse,
  TIMEOUT_REASON,
} from './httpClient.ts';

/** What one attempt at an engine needs. */
export interface CompletionOptions {
  address: string;
  path: '/v1/completions' | '/v1/chat/completions';
  /** Body of the caller's request; `stream: true` makes it a stream. */
  body: Record<string, unknown>;
  requestId: string;
  /** Trace context that the engine receives. */
  traceparent?: string;
  /** `adapter@version` */
  model: string;
  priority: number;
  /** Monotonic ms by which the answer must be complete. */
  deadline: number;
  /** The engine runs the named adapter and version; called once before the first chunk. */
  onResponseStarted: () => void;
  /** The next chunk, without the end mark, or the whole JSON answer. A promise holds the stream back. */
  onChunk: (data: string) => void | Promise<void>;
  /** Longest silence of the engine in ms; `PROGRESS_TIMEOUT_MS` when absent. */
  progressTimeoutMs?: number;
}

const Chunk = z.object({
  model: z.string(),
  usage: z.object({ completion_tokens: z.int().min(0) }).nullish(),
});
const EngineFailure = z.object({ error: z.object({ message: z.string() }) });

/** Why reading one connection stopped: the answer is settled, or the connection is of no more use. */
type Reading = { outcome: AttemptOutcome } | { failure: string };

function getMessage(body: string): string {
  try {
    return EngineFailure.parse(JSON.parse(body)).error.message;
  } catch {
    return body.slice(0, 200);
  }
}

/** One attempt at an engine, over as many connections as its stream needs. */
export class Completion {
  private readonly abort = new AbortController();
  private readonly order = ChunkSequencer.create();
  private hasHead = false;
  private tokens = 0;
  /** The connection in use; kept open until its replacement stands, since closing it cancels. */
  private current: OpenResponse | undefined;

  private constructor(
    private readonly http: HttpClient,
    private readonly options: CompletionOptions,
  ) {}

  static create(http: HttpClient, options: CompletionOptions): Completion {
    return new Completion(http, options);
  }

  cancel(): void {
    this.abort.abort(new Error('cancelled'));
    this.closeCurrent();
  }

  /** Runs the attempt to its end. */
  async run(): Promise<AttemptOutcome> {
    const deadline = setTimeout(
      () => {
        this.abort.abort(new Error('the deadline passed'));
        this.closeCurrent();
      },
      Math.max(0, this.options.deadline - performance.now()),
    );
    try {
      return await this.relay();
    } catch (error) {
      return { type: 'broken', reason: error instanceof Error ? error.message : String(error) };
    } finally {
      clearTimeout(deadline);
      this.closeCurrent();
    }
  }

  private async relay(): Promise<AttemptOutcome> {
    let opened = await this.open(false);
    if (opened.type === 'notSent') {
      return this.isAborted() ? this.getAborted() : { type: 'unreachable' };
    }
    let resumes = 0;
    for (let isResume = opened.type === 'lost'; ; isResume = true) {
      let reason: string;
      const before = this.order.lastChunkNumber;
      if (opened.type === 'open') {
        this.closeCurrent();
        this.current = opened;
        const reading = await this.read(opened, isResume);
        if (this.isAborted()) return this.getAborted();
        if ('outcome' in reading) return reading.outcome;
        reason = reading.failure;
      } else {
        reason = opened.reason;
      }
      if (this.isAborted()) return this.getAborted();
      if (this.order.lastChunkNumber > before) resumes = 0;
      if (this.hasHead && !this.order.isNumbered) return { type: 'broken', reason };
      // A whole answer has no progress to see; its request is asked for again until the deadline.
      const isWaiting = this.options.body.stream !== true && reason === TIMEOUT_REASON;
      if (isWaiting) resumes = 0;
      if (resumes === MAX_CONSECUTIVE_RESUMES) return { type: 'broken', reason };
      await sleep(RESUME_BACKOFF_BASE_MS * 2 ** resumes++, undefined, {
        signal: this.abort.signal,
      }).catch(() => undefined);
      if (this.isAborted()) return this.getAborted();
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
    if (isResume) headers['last-event-id'] = String(this.order.lastChunkNumber);
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

  private async read(opened: OpenResponse, isResume: boolean): Promise<Reading> {
    if (opened.status !== 200) return this.readRefusal(opened, isResume);
    return this.options.body.stream === true ? this.readStream(opened) : this.readWhole(opened);
  }

  private async readRefusal(opened: OpenResponse, isResume: boolean): Promise<Reading> {
    const message = getMessage(await this.readText(opened).catch(() => ''));
    if (isResume) {
      // The engine does not know the request any more, so it cannot be continued.
      return { outcome: { type: 'broken', reason: `${opened.status} on resume: ${message}` } };
    }
    if (opened.status === 404) return { outcome: { type: 'notResident' } };
    return { outcome: { type: 'refused', status: opened.status, message } };
  }

  private async readWhole(opened: OpenResponse): Promise<Reading> {
    let text: string;
    try {
      text = await this.readText(opened);
    } catch (error) {
      return { failure: error instanceof Error ? error.message : String(error) };
    }
    const outcome = await this.passOn(text);
    return { outcome: outcome ?? this.getCompleted() };
  }

  private async readStream(opened: OpenResponse): Promise<Reading> {
    const events: { id: string | undefined; data: string }[] = [];
    const parser = createParser({ onEvent: ({ id, data }) => events.push({ id, data }) });
    const decoder = new TextDecoder();
    const parts = opened.body[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
    try {
      for await (const part of this.readParts(parts)) {
        parser.feed(decoder.decode(part, { stream: true }));
        for (const { id, data } of events.splice(0)) {
          const ordered = this.order.push(id, data);
          if (ordered === undefined) {
            const reason = `the engine sent without a number: ${getMessage(data)}`;
            return { outcome: { type: 'broken', reason } };
          }
          for (const next of ordered) {
            if (next === DONE_DATA) {
              this.drain(opened, parts);
              if (!this.hasHead) {
                return { outcome: { type: 'broken', reason: 'the stream has no chunk' } };
              }
              return { outcome: this.getCompleted() };
            }
            const outcome = await this.passOn(next);
            if (outcome !== undefined) return { outcome };
          }
        }
      }
    } catch (error) {
      return { failure: error instanceof Error ? error.message : String(error) };
    }
    return { failure: 'the stream ended before its end mark' };
  }

  /** Yields the parts of the body; throws when none arrives for the progress time. */
  private async *readParts(parts: AsyncIterator<Uint8Array>): AsyncGenerator<Uint8Array> {
    for (;;) {
      let timer: NodeJS.Timeout | undefined;
      const silence = new Promise<never>((_, reject) => {
        timer = setTimeout(() => reject(new Error(TIMEOUT_REASON)), this.getProgressMs());
      });
      const next = parts.next();
      next.catch(() => undefined);
      const part = await Promise.race([next, silence]).finally(() => clearTimeout(timer));
      if (part.done === true) return;
      yield part.value;
    }
  }

  private async readText(opened: OpenResponse): Promise<string> {
    const body = opened.body[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
    const parts: Uint8Array[] = [];
    for await (const part of this.readParts(body)) parts.push(part);
    return Buffer.concat(parts).toString();
  }

  /** Checks the model of a chunk and passes it on; returns an outcome when the attempt must end. */
  private async passOn(data: string): Promise<AttemptOutcome | undefined> {
    let chunk: z.infer<typeof Chunk>;
    try {
      chunk = Chunk.parse(JSON.parse(data));
    } catch {
      return { type: 'broken', reason: `the engine sent: ${getMessage(data)}` };
    }
    if (chunk.model !== this.options.model) return { type: 'wrongAdapter', reported: chunk.model };
    if (this.isAborted()) return this.getAborted();
    this.tokens = chunk.usage?.completion_tokens ?? this.tokens + 1;
    try {
      if (!this.hasHead) this.options.onResponseStarted();
      this.hasHead = true;
      await this.options.onChunk(data);
      return undefined;
    } catch {
      // The chunk may be lost to the caller, so the stream cannot go on.
      return { type: 'broken', reason: 'the answer could not be passed on' };
    }
  }

  private getCompleted(): AttemptOutcome {
    const { model } = this.options;
    const at = model.lastIndexOf('@');
    return {
      type: 'completed',
      adapter: model.slice(0, at),
      version: model.slice(at + 1),
      tokens: this.tokens,
    };
  }

  private getAborted(): AttemptOutcome {
    const reason = (this.abort.signal.reason as Error).message;
    return reason === 'cancelled' ? { type: 'cancelled' } : { type: 'broken', reason };
  }

  private getProgressMs(): number {
    return this.options.progressTimeoutMs ?? PROGRESS_TIMEOUT_MS;
  }

  private isAborted(): boolean {
    return this.abort.signal.aborted;
  }

  /** Reads the rest of a complete answer, so that its connection can be reused. */
  private drain(opened: OpenResponse, parts: AsyncIterator<Uint8Array>): void {
    this.current = undefined;
    const timer = setTimeout(
      () => opened.body.on('error', () => undefined).destroy(),
      DRAIN_TIMEOUT_MS,
    );
    const readOn = async () => {
      while ((await parts.next()).done !== true);
    };
    readOn()
      .catch(() => undefined)
      .finally(() => {
        clearTimeout(timer);
        opened.close();
      });
  }

  private closeCurrent(): void {
    this.current?.body.on('error', () => undefined).destroy();
    this.current?.close();
    this.current = undefined;
  }
}
