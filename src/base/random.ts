import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

const FRACTION_STEPS = 0x7fffffff;

/** Seeded random number generator; the same seed gives the same sequence. */
export class Random {
  private constructor(private readonly generator: RandomGenerator) {}

  static create(seed: number): Random {
    return new Random(xoroshiro128plus(seed));
  }

  /** Returns a number in [0, 1). */
  getFraction(): number {
    return unsafeUniformIntDistribution(0, FRACTION_STEPS - 1, this.generator) / FRACTION_STEPS;
  }

  /** Returns an integer in [0, below). */
  getInteger(below: number): number {
    return unsafeUniformIntDistribution(0, below - 1, this.generator);
  }

  /** Returns `bytes` random bytes in lower-case hexadecimal. Not suitable for secrets. */
  getHex(bytes: number): string {
    let text = '';
    for (let i = 0; i < bytes; i++) text += this.getInteger(256).toString(16).padStart(2, '0');
    return text;
  }
}
