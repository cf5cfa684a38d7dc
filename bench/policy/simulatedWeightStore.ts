import type { Random } from '../../src/base/random.ts';
import { TokenBucket } from '../../src/base/tokenBucket.ts';
import type { SimulatedClock } from './simulatedClock.ts';
import { FULL_SPEED_LOADS, LOAD_MS, STORE_BURST } from './constants.ts';

/**
 * Rate-limited weight store. Loads over the rate limit wait in order of arrival; a load that starts when
 * more than `FULL_SPEED_LOADS` (8) are in flight takes proportionally longer.
 */
export class SimulatedWeightStore {
  slowFactor = 1;
  failFraction = 0;
  started = 0;
  private inFlight = 0;
  private readonly waiting: (() => void)[] = [];
  private readonly bucket: TokenBucket;

  private constructor(
    private readonly clock: SimulatedClock,
    private readonly random: Random,
    loadsPerS: number,
  ) {
    this.bucket = TokenBucket.create(loadsPerS, STORE_BURST, 0, STORE_BURST);
  }

  static create(clock: SimulatedClock, random: Random, loadsPerS: number): SimulatedWeightStore {
    return new SimulatedWeightStore(clock, random, loadsPerS);
  }

  /** Returns the ms until `count` loads ordered now would have started. */
  getStartDelayMs(count: number): number {
    return this.bucket.getWaitMs(this.clock.now, this.waiting.length + count);
  }

  load(onEnded: (isDone: boolean) => void): void {
    this.waiting.push(() => {
      this.started += 1;
      this.inFlight += 1;
      const slowdown = Math.max(1, this.inFlight / FULL_SPEED_LOADS);
      this.clock.after(LOAD_MS * slowdown * this.slowFactor, () => {
        this.inFlight -= 1;
        onEnded(this.random.getFraction() >= this.failFraction);
      });
    });
    if (this.waiting.length === 1) this.startNext();
  }

  private startNext(): void {
    while (this.waiting.length > 0 && this.bucket.tryTake(this.clock.now)) this.waiting.shift()?.();
    if (this.waiting.length === 0) return;
    this.clock.after(this.bucket.getWaitMs(this.clock.now), () => {
      this.startNext();
    });
  }
}
