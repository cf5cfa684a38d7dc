import { EXPECTED_FIRST_EVENT_MS, PREFILL_TOKENS_PER_MS } from './constants.ts';

/** Weight of a sample in the mean, and the most that one changes it. */
const SAMPLE_WEIGHT = 0.1;
const MAX_CHANGE = 1.5;
/** Bounds of the mean, as ratios to the usual rate. */
const MIN_RATE_RATIO = 1 / 8;
const MAX_RATE_RATIO = 2;
/** Fewest tokens that tell the rate; what else a first event takes outweighs fewer. */
const MIN_SAMPLE_TOKENS = 600;

/** Learns from first events how fast an engine reads prompts. */
export class EngineSpeed {
  private tokensPerMs = PREFILL_TOKENS_PER_MS;
  /** Monotonic ms of the last first event. */
  private lastStartAt = -Infinity;
  /** Tokens that the engine has read since `beganAt`, in monotonic ms. */
  private tokens = 0;
  private beganAt = -Infinity;

  private constructor() {}

  /** Starts from the usual rate. */
  static create(): EngineSpeed {
    return new EngineSpeed();
  }

  /** Tokens of prompts that the engine reads in a ms. */
  get rate(): number {
    return this.tokensPerMs;
  }

  /**
   * Records the first event of a prompt that was granted at `grantedAt`. The engine reads prompts one after
   * another, and short ones together; a sample spans enough of them to tell the rate.
   */
  recordStart(promptTokens: number, grantedAt: number, now: number): void {
    // A first event follows the end of its prompt after a while, in which the engine may be idle.
    if (grantedAt >= this.lastStartAt - EXPECTED_FIRST_EVENT_MS) {
      this.tokens = 0;
      this.beganAt = grantedAt + EXPECTED_FIRST_EVENT_MS;
    }
    this.lastStartAt = now;
    this.tokens += promptTokens;
    if (this.tokens < MIN_SAMPLE_TOKENS) return;
    this.addSample(this.tokens / Math.max(1, now - this.beganAt));
    this.tokens = 0;
    this.beganAt = now;
  }

  private addSample(sample: number): void {
    const known = this.tokensPerMs;
    const bounded = clamp(sample, known / MAX_CHANGE, known * MAX_CHANGE);
    const mean = known + SAMPLE_WEIGHT * (bounded - known);
    this.tokensPerMs = clamp(
      mean,
      PREFILL_TOKENS_PER_MS * MIN_RATE_RATIO,
      PREFILL_TOKENS_PER_MS * MAX_RATE_RATIO,
    );
  }
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
