import type { Event } from '../core/events.ts';
import type { ResponseSink } from './completionExchange.ts';

/** Collects the response to a draft's request and dispatches it as the draft's result. */
export class DraftResultSink implements ResponseSink {
  private body = '';

  private constructor(
    private readonly draft: string,
    private readonly dispatch: (event: Event) => void,
  ) {}

  static create(draft: string, dispatch: (event: Event) => void): DraftResultSink {
    return new DraftResultSink(draft, dispatch);
  }

  start(): void {
    this.body = '';
  }

  write(data: string): void {
    this.body += data;
  }

  finish(): void {
    this.dispatch({ type: 'draftResultCollected', draft: this.draft, body: this.body });
  }

  /** Drops the partial result; the reducer already knows of the failure. */
  fail(): void {
    this.body = '';
  }
}
