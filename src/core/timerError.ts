import type { Effect } from './effects.ts';
import type { Timer } from './timers.ts';

/** The handler of a timer threw. */
export class TimerError extends Error {
  private constructor(
    readonly timer: Timer,
    /** Effects of the timers that ran before it in the same turn. */
    readonly effects: readonly Effect[],
    cause: unknown,
  ) {
    super(`the handler of timer "${timer.type}" failed`, { cause });
  }

  static create(timer: Timer, effects: readonly Effect[], cause: unknown): TimerError {
    return new TimerError(timer, effects, cause);
  }
}
