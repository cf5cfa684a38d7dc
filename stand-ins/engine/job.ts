import type { ServerResponse } from 'node:http';
import {
  type CompletionBody,
  getChunk,
  getMaxTokens,
  getPrompt,
  getToken,
  getUsageChunk,
  getCompletionResponse,
} from './completion.ts';

/** State of a job; the last three are final. */
export type JobState = 'waiting' | 'running' | 'completed' | 'cancelled' | 'crashed';

/** Faults of the event streams of an engine. */
export interface StreamFaults {
  /** Model that responses name instead of the one that runs; empty to disable. */
  reportModel: string;
  duplicateChunks: boolean;
  /** Swaps the two chunks of each pair. */
  reorderChunks: boolean;
  /** Number of chunks after which one connection is closed; 0 disables the fault. */
  breakAfter: number;
}

/** Completion that the engine runs, with the chunks generated so far. */
export class Job {
  state: JobState = 'waiting';
  readonly prompt: string;
  readonly maxTokens: number;
  /** Remaining batch steps of the prefill. */
  prefillSteps = 0;
  tokenCount = 0;
  /** Cancels the job when no caller reconnects within the resume window. */
  abandonTimer: NodeJS.Timeout | undefined;
  deadlineTimer: NodeJS.Timeout | undefined;
  /** The chunk at index `n` has the event id n + 1. */
  private readonly chunks: string[] = [];
  private text = '';
  private response: ServerResponse | undefined;
  private sentChunks = 0;

  private constructor(
    readonly id: string,
    readonly body: CompletionBody,
    readonly isChat: boolean,
    private readonly faults: StreamFaults,
  ) {
    this.prompt = getPrompt(body);
    this.maxTokens = getMaxTokens(body);
  }

  static create(id: string, body: CompletionBody, isChat: boolean, faults: StreamFaults): Job {
    return new Job(id, body, isChat, faults);
  }

  get hasEnded(): boolean {
    return this.state !== 'waiting' && this.state !== 'running';
  }

  /** Sends the chunks after event id `position` to `response`; closes the previous connection. */
  attachResponse(response: ServerResponse, position: number): void {
    const previous = this.response;
    this.response = response;
    previous?.destroy();
    this.sentChunks = position;
    if (this.body.stream === true) {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.flushHeaders();
    }
    this.sendPendingChunks();
  }

  /** Clears the response of the job if it is `response`. */
  detachResponse(response: ServerResponse): void {
    if (this.response === response) this.response = undefined;
  }

  get hasResponse(): boolean {
    return this.response !== undefined;
  }

  /** Generates the next token. */
  generateToken(): void {
    const { model, seed } = this.body;
    const token = getToken(this.prompt, model, seed ?? 0, this.tokenCount);
    const isLast = this.tokenCount + 1 === this.maxTokens;
    this.chunks.push(getChunk(this.getResponseIdentity(), token, this.tokenCount++, isLast));
    this.text += token;
    if (isLast) this.completeGeneration();
    this.sendPendingChunks();
  }

  /** Ends the job in `state` unless it has ended, and closes its connection. */
  end(state: JobState): void {
    clearTimeout(this.abandonTimer);
    clearTimeout(this.deadlineTimer);
    if (!this.hasEnded) this.state = state;
    this.response?.destroy();
    this.response = undefined;
  }

  private completeGeneration(): void {
    clearTimeout(this.deadlineTimer);
    this.state = 'completed';
    if (this.body.stream_options?.include_usage === true) {
      this.chunks.push(
        getUsageChunk(this.getResponseIdentity(), this.getPromptTokens(), this.tokenCount),
      );
    }
    this.chunks.push('[DONE]');
  }

  private getResponseIdentity() {
    const model = this.faults.reportModel || this.body.model;
    return { id: this.id, model, isChat: this.isChat };
  }

  private getPromptTokens(): number {
    return Math.ceil(this.prompt.length / 4);
  }

  private sendPendingChunks(): void {
    const { response } = this;
    if (response === undefined) return;
    if (this.body.stream !== true) {
      if (this.state === 'completed') this.sendCompletion(response);
      return;
    }
    while (this.sentChunks < this.chunks.length) {
      const isPairMissing =
        this.sentChunks + 1 === this.chunks.length && this.state !== 'completed';
      if (this.faults.reorderChunks && isPairMissing) return;
      const ids = [this.sentChunks + 1];
      if (this.faults.reorderChunks && this.sentChunks + 1 < this.chunks.length)
        ids.unshift(this.sentChunks + 2);
      for (const id of ids) {
        this.writeChunk(response, id);
        if (this.faults.duplicateChunks) this.writeChunk(response, id);
      }
      this.sentChunks += ids.length;
      if (this.faults.breakAfter > 0 && this.sentChunks >= this.faults.breakAfter) {
        this.faults.breakAfter = 0;
        // Closes after a delay, so that the chunks written before are sent.
        this.response = undefined;
        setTimeout(() => response.destroy(), 10);
        return;
      }
    }
    if (this.state === 'completed') response.end();
  }

  private writeChunk(response: ServerResponse, id: number): void {
    response.write(`id: ${id}\ndata: ${this.chunks[id - 1] ?? ''}\n\n`);
  }

  private sendCompletion(response: ServerResponse): void {
    const tokens = this.tokenCount;
    const body = getCompletionResponse(
      this.getResponseIdentity(),
      this.text,
      this.getPromptTokens(),
      tokens,
    );
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(body);
  }
}
