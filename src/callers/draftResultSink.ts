import type { Event } from '../core/events.ts';
import type { ResponseSink } from './completionExchange.ts';

/** Collects the answer to a draft's request and hands it to the reducer when it is whole. */
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

  /** The reducer handles a draft's failure itself. */
  fail(): void {
    this.body = '';
  }
}
