import { RETRY_BUDGET_BUCKETS } from './constants.ts';

/**
 * Counts requests and retries to a service over a sliding window. Each host uses its share of one
 * budget, so that retries cannot multiply an overload.
 */
export class SharedRetryBudget {
  private readonly requests = new Array<number>(RETRY_BUDGET_BUCKETS).fill(0);
  private readonly retries = new Array<number>(RETRY_BUDGET_BUCKETS).fill(0);
  private bucket = 0;

  private constructor(private readonly bucketMs: number) {}

  /** Creates an empty budget with a window of `windowMs`. */
  static create(windowMs: number): SharedRetryBudget {
    return new SharedRetryBudget(windowMs / RETRY_BUDGET_BUCKETS);
  }

  addRequest(now: number): void {
    this.advance(now);
    this.add(this.requests);
  }

  /**
   * Counts a retry if the window has room for it: `ratio` retries for each request, and `slack`
   * more. Returns whether the retry is allowed.
   */
  consumeRetry(now: number, ratio: number, slack: number): boolean {
    this.advance(now);
    if (getSum(this.retries) + 1 > ratio * getSum(this.requests) + slack) return false;
    this.add(this.retries);
    return true;
  }

  /** Returns the requests and retries in the window. */
  getCounts(now: number): { requests: number; retries: number } {
    this.advance(now);
    return { requests: getSum(this.requests), retries: getSum(this.retries) };
  }

  private add(counts: number[]): void {
    const index = this.bucket % RETRY_BUDGET_BUCKETS;
    counts[index] = (counts[index] ?? 0) + 1;
  }

  private advance(now: number): void {
    const bucket = Math.floor(now / this.bucketMs);
    const steps = Math.min(RETRY_BUDGET_BUCKETS, bucket - this.bucket);
    for (let step = 1; step <= steps; step++) {
      const index = (bucket - steps + step) % RETRY_BUDGET_BUCKETS;
      this.requests[index] = 0;
      this.retries[index] = 0;
    }
    this.bucket = Math.max(this.bucket, bucket);
  }
}

function getSum(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}
