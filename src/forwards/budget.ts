import { BUDGET_BUCKETS } from './constants.ts';

/**
 * Counts requests and repeated sends to a service over a sliding window. All hosts keep their shares
 * of one budget, so that retries cannot multiply an overload.
 */
export class ForwardBudget {
  private readonly requests = new Array<number>(BUDGET_BUCKETS).fill(0);
  private readonly repeats = new Array<number>(BUDGET_BUCKETS).fill(0);
  private bucket = 0;

  private constructor(private readonly bucketMs: number) {}

  /** `windowMs` is the length of the window. */
  static create(windowMs: number): ForwardBudget {
    return new ForwardBudget(windowMs / BUDGET_BUCKETS);
  }

  addRequest(now: number): void {
    this.advance(now);
    this.add(this.requests);
  }

  /** Counts a repeated send if `ratio` of the requests and `slack` allow it; returns whether they do. */
  takeRepeat(now: number, ratio: number, slack: number): boolean {
    this.advance(now);
    if (getSum(this.repeats) + 1 > ratio * getSum(this.requests) + slack) return false;
    this.add(this.repeats);
    return true;
  }

  private add(counts: number[]): void {
    const index = this.bucket % BUDGET_BUCKETS;
    counts[index] = (counts[index] ?? 0) + 1;
  }

  private advance(now: number): void {
    const bucket = Math.floor(now / this.bucketMs);
    const steps = Math.min(BUDGET_BUCKETS, bucket - this.bucket);
    for (let step = 1; step <= steps; step++) {
      const index = (bucket - steps + step) % BUDGET_BUCKETS;
      this.requests[index] = 0;
      this.repeats[index] = 0;
    }
    this.bucket = Math.max(this.bucket, bucket);
  }
}

function getSum(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}
