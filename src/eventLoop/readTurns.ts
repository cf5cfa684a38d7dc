import { READ_TURN_MS, READ_TURN_COST_BYTES, READ_PART_COST_BYTES } from './constants.ts';

/** What one connection has delivered in the current iteration of the event loop. */
export interface ReadShare {
  iteration: number;
  costBytes: number;
}

/**
 * Shares the event loop between connections that deliver without a pause and everything else. A connection that
 * has delivered its share in an iteration is paused, and read on in a later one: in each iteration, paused
 * connections have a limited time together, one after another.
 */
export class ReadTurns {
  private iteration = 0;
  private isScheduled = false;
  private readonly waiting: { share: ReadShare; readOn: () => void }[] = [];

  private constructor() {}

  static create(): ReadTurns {
    return new ReadTurns();
  }

  newShare(): ReadShare {
    return { iteration: this.iteration, costBytes: 0 };
  }

  /** Counts a part of `bytes`; returns whether its connection has to wait for a turn. */
  count(share: ReadShare, bytes: number): boolean {
    this.schedule();
    if (share.iteration !== this.iteration) {
      share.iteration = this.iteration;
      share.costBytes = 0;
    }
    share.costBytes += bytes + READ_PART_COST_BYTES;
    return share.costBytes >= READ_TURN_COST_BYTES;
  }

  /** Calls `readOn` in a later iteration, in which the connection has a new share. */
  wait(share: ReadShare, readOn: () => void): void {
    this.waiting.push({ share, readOn });
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.startIteration());
  }

  private startIteration(): void {
    this.isScheduled = false;
    this.iteration += 1;
    const endsAt = performance.now() + READ_TURN_MS;
    for (let next = this.waiting.shift(); next !== undefined; next = this.waiting.shift()) {
      next.share.costBytes = 0;
      next.readOn();
      if (performance.now() >= endsAt) break;
    }
    if (this.waiting.length > 0) this.schedule();
  }
}
