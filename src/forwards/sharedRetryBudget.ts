import { RETRY_BUDGET_BUCKETS } from './constants.ts';

/** One bucket more than the window has: the bucket in use covers only a part of its time. */
const KEPT_BUCKETS = RETRY_BUDGET_BUCKETS + 1;

/**
 * Counts requests and retries to a service over a sliding window. Each host uses its share of one
 * budget, so that retries cannot multiply an overload. Retries count for at least the window and
 * requests for at most it, so that the budget holds in any span of the window's length.
 */
export class SharedRetryBudget {
  private readonly requests = new Array<number>(KEPT_BUCKETS).fill(0);
  private readonly retries = new Array<number>(KEPT_BUCKETS).fill(0);
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
    const counts = this.getCounts(now);
    if (counts.retries + 1 > ratio * counts.requests + slack) return false;
    this.add(this.retries);
    return true;
  }

  /** Returns the requests and retries in the window. */
  getCounts(now: number): { requests: number; retries: number } {
    this.advance(now);
    const oldestRequests = this.requests[(this.bucket + 1) % KEPT_BUCKETS] ?? 0;
    return { requests: getSum(this.requests) - oldestRequests, retries: getSum(this.retries) };
  }

  private add(counts: number[]): void {
    const index = this.bucket % KEPT_BUCKETS;
    counts[index] = (counts[index] ?? 0) + 1;
  }

  private advance(now: number): void {
    const bucket = Math.floor(now / this.bucketMs);
    const steps = Math.min(KEPT_BUCKETS, bucket - this.bucket);
    for (let step = 1; step <= steps; step++) {
      const index = (bucket - steps + step) % KEPT_BUCKETS;
      this.requests[index] = 0;
      this.retries[index] = 0;
    }
    this.bucket = Math.max(this.bucket, bucket);
  }
}

function getSum(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}
