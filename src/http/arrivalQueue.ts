import { LATE_SHARE, LATE_WEIGHT } from '../arrivals/constants.ts';
import { Failure } from '../errors/failure.ts';
import type { TurnQueue } from '../eventLoop/turnQueue.ts';
import {
  type Backlog,
  getMaxWaitMs,
  getReturnMs,
  isBacklogTooLong,
  isOverloaded,
} from '../arrivals/overload.ts';

/** A request whose head was read. */
export interface Arrival {
  /** Returns the time in ms that its caller waits; Infinity if the caller set no limit. */
  getWaitMs: () => number;
  hasCallerLeft: () => boolean;
  take: () => void;
  reject: (failure: Failure) => void;
}

/** What became of a request that waited, and for how long in ms. */
export interface ArrivalResult {
  result: 'taken' | 'left' | 'rejected';
  waitedMs: number;
}

interface Options {
  /** Turns in which requests are taken. */
  turns: Pick<TurnQueue, 'push'>;
  /** Returns a random number in [0, 1). */
  getFraction: () => number;
  /** Called for each request. */
  onResult: (result: ArrivalResult) => void;
}

interface QueuedArrival {
  arrival: Arrival;
  queuedAt: number;
}

/**
 * Takes requests in the order of their arrival, as fast as the host can serve them. Drops those whose
 * callers have left, and rejects at once those that would wait for too long.
 */
export class ArrivalQueue {
  private readonly waiting: QueuedArrival[] = [];
  private busySince: number | undefined;
  /** Share of the last requests whose callers had left before their turn. */
  private leftShare = 0;

  private constructor(private readonly options: Options) {}

  static create(options: Options): ArrivalQueue {
    return new ArrivalQueue(options);
  }

  push(arrival: Arrival): void {
    const now = performance.now();
    if (isBacklogTooLong(this.backlog, arrival.getWaitMs, now)) {
      this.reject(arrival, 0);
      return;
    }
    this.busySince ??= now;
    this.waiting.push({ arrival, queuedAt: now });
    this.options.turns.push('take', () => this.handleNext());
  }

  /** Whether most callers leave before this host comes to their requests. */
  get isLate(): boolean {
    return this.leftShare >= LATE_SHARE;
  }

  private get backlog(): Backlog {
    return { since: this.busySince, firstQueuedAt: this.waiting[0]?.queuedAt };
  }

  private handleNext(): void {
    const next = this.waiting.shift();
    if (next === undefined) return;
    const now = performance.now();
    const wasOverloaded = isOverloaded(this.backlog, now);
    if (this.waiting.length === 0) this.busySince = undefined;
    const { arrival, queuedAt } = next;
    const { onResult } = this.options;
    const waitedMs = now - queuedAt;
    const hasLeft = arrival.hasCallerLeft();
    this.leftShare += LATE_WEIGHT * (Number(hasLeft) - this.leftShare);
    if (hasLeft) {
      onResult({ result: 'left', waitedMs });
    } else if (wasOverloaded && waitedMs > getMaxWaitMs(arrival.getWaitMs())) {
      this.reject(arrival, waitedMs);
    } else {
      onResult({ result: 'taken', waitedMs });
      arrival.take();
    }
  }

  private reject({ reject }: Arrival, waitedMs: number): void {
    const { getFraction, onResult } = this.options;
    onResult({ result: 'rejected', waitedMs });
    const retryAfterS = getReturnMs(getFraction()) / 1_000;
    const message = 'this host has more requests than it can serve';
    reject(Failure.create('overloaded', message, { retryAfterS }));
  }
}
