/** Token bucket that refills at a constant rate up to a limit. Times are in milliseconds. */
export class TokenBucket {
  private constructor(
    private tokens: number,
    private updatedAt: number,
    readonly ratePerS: number,
    readonly limit: number,
  ) {}

  /** Creates a bucket with `initial` tokens; above 0 only where no tokens were spent before. */
  static create(ratePerS: number, limit: number, now: number, initial = 0): TokenBucket {
    return new TokenBucket(initial, now, ratePerS, limit);
  }

  getTokens(now: number): number {
    const refilled = this.tokens + (Math.max(0, now - this.updatedAt) * this.ratePerS) / 1000;
    return Math.min(this.limit, refilled);
  }

  /** Takes `count` tokens if available; returns whether they were taken. */
  tryTake(now: number, count = 1): boolean {
    const available = this.getTokens(now);
    if (available < count) return false;
    this.tokens = available - count;
    this.updatedAt = now;
    return true;
  }

  add(now: number, count: number): void {
    this.tokens = Math.min(this.limit, this.getTokens(now) + count);
    this.updatedAt = now;
  }

  /** Returns milliseconds until `count` tokens are available; 0 if they already are. */
  getWaitMs(now: number, count = 1): number {
    const lacking = count - this.getTokens(now);
    if (lacking <= 0) return 0;
    return this.ratePerS > 0 ? Math.ceil((lacking * 1000) / this.ratePerS) : Infinity;
  }
}
