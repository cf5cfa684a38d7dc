/** Event counter with exponential decay. Times are in milliseconds. */
export class DecayingCounter {
  private constructor(
    private value: number,
    private updatedAt: number,
    private readonly halfLifeMs: number,
  ) {}

  static create(halfLifeMs: number, now: number): DecayingCounter {
    return new DecayingCounter(0, now, halfLifeMs);
  }

  add(now: number, weight = 1): void {
    this.value = this.getValue(now) + weight;
    this.updatedAt = now;
  }

  /** Returns the decayed count at `now`. */
  getValue(now: number): number {
    const elapsed = Math.max(0, now - this.updatedAt);
    return this.value * 2 ** (-elapsed / this.halfLifeMs);
  }

  /** Returns the estimated rate in events per second. */
  getRatePerS(now: number): number {
    return (this.getValue(now) * Math.LN2 * 1000) / this.halfLifeMs;
  }
}
