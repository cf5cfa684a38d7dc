import type { ServerResponse } from 'node:http';
import {
  type CompletionBody,
  getChunk,
  getMaxTokens,
  getPrompt,
  getToken,
  getUsageChunk,
  getWholeAnswer,
} from './answer.ts';

export type JobState = 'waiting' | 'running' | 'completed' | 'cancelled' | 'crashed';

/** Ways in which an engine can corrupt a stream. */
export interface StreamFaults {
  /** Model that the engine reports instead of the one that runs. */
  reportModel: string;
  duplicateChunks: boolean;
  /** Swaps each pair of chunks. */
  reorderChunks: boolean;
  /** Drops the connection once after this many chunks; 0 never. */
  breakAfter: number;
}

/** One request on the engine, with the chunks generated so far. */
export class Job {
  state: JobState = 'waiting';
  readonly prompt: string;
  readonly maxTokens: number;
  /** Steps until the prompt is processed. */
  prefillSteps = 0;
  tokens = 0;
  /** Closes the job when its caller has been gone for the resume window. */
  abandonTimer: NodeJS.Timeout | undefined;
  deadlineTimer: NodeJS.Timeout | undefined;
  /** Chunk `n` has the event id n + 1. */
  private readonly chunks: string[] = [];
  private text = '';
  private response: ServerResponse | undefined;
  private sent = 0;

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

  get isOver(): boolean {
    return this.state !== 'waiting' && this.state !== 'running';
  }

  /** Sends the chunks after number `position` to `response`, in place of an earlier connection. */
  attach(response: ServerResponse, position: number): void {
    const previous = this.response;
    this.response = response;
    previous?.destroy();
    this.sent = position;
    if (this.body.stream === true) {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.flushHeaders();
    }
    this.flush();
  }

  /** Forgets `response` when it is the job's connection. */
  detach(response: ServerResponse): void {
    if (this.response === response) this.response = undefined;
  }

  get isAttached(): boolean {
    return this.response !== undefined;
  }

  /** Generates the next token. */
  step(): void {
    const { model, seed } = this.body;
    const token = getToken(this.prompt, model, seed ?? 0, this.tokens);
    const isLast = this.tokens + 1 === this.maxTokens;
    this.chunks.push(getChunk(this.getFrame(), token, this.tokens++, isLast));
    this.text += token;
    if (isLast) this.complete();
    this.flush();
  }

  /** Ends the job and its connection. */
  end(state: JobState): void {
    clearTimeout(this.abandonTimer);
    clearTimeout(this.deadlineTimer);
    if (!this.isOver) this.state = state;
    this.response?.destroy();
    this.response = undefined;
  }

  private complete(): void {
    clearTimeout(this.deadlineTimer);
    this.state = 'completed';
    if (this.body.stream_options?.include_usage === true) {
      this.chunks.push(getUsageChunk(this.getFrame(), this.getPromptTokens(), this.tokens));
    }
    this.chunks.push('[DONE]');
  }

  private getFrame() {
    const model = this.faults.reportModel || this.body.model;
    return { id: this.id, model, isChat: this.isChat };
  }

  private getPromptTokens(): number {
    return Math.ceil(this.prompt.length / 4);
  }

  private flush(): void {
    const { response } = this;
    if (response === undefined) return;
    if (this.body.stream !== true) {
      if (this.state === 'completed') this.sendWhole(response);
      return;
    }
    while (this.sent < this.chunks.length) {
      const isPairMissing = this.sent + 1 === this.chunks.length && this.state !== 'completed';
      if (this.faults.reorderChunks && isPairMissing) return;
      const ids = [this.sent + 1];
      if (this.faults.reorderChunks && this.sent + 1 < this.chunks.length)
        ids.unshift(this.sent + 2);
      for (const id of ids) {
        this.write(response, id);
        if (this.faults.duplicateChunks) this.write(response, id);
      }
      this.sent += ids.length;
      if (this.faults.breakAfter > 0 && this.sent >= this.faults.breakAfter) {
        this.faults.breakAfter = 0;
        // Gives the chunks time to leave before the connection is reset.
        this.response = undefined;
        setTimeout(() => response.destroy(), 10);
        return;
      }
    }
    if (this.state === 'completed') response.end();
  }

  private write(response: ServerResponse, id: number): void {
    response.write(`id: ${id}\ndata: ${this.chunks[id - 1] ?? ''}\n\n`);
  }

  private sendWhole(response: ServerResponse): void {
    const tokens = this.tokens;
    const body = getWholeAnswer(this.getFrame(), this.text, this.getPromptTokens(), tokens);
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(body);
  }
}
