/**
 * Difference between the time of day and the monotonic clock, in ms, whose change shows that one of them
 * jumped or that the machine was suspended. Corrections of the time of day are smaller.
 */
const MIN_JUMP_MS = 250;

/** Notices that the monotonic clock does not tell the time that has passed. */
export class ClockJumps {
  private differenceMs = getDifferenceMs();

  private constructor() {}

  static create(): ClockJumps {
    return new ClockJumps();
  }

  /** Whether the clocks have moved against each other since the last call that returned true. */
  hasJumped(): boolean {
    const differenceMs = getDifferenceMs();
    if (Math.abs(differenceMs - this.differenceMs) < MIN_JUMP_MS) return false;
    this.differenceMs = differenceMs;
    return true;
  }
}

function getDifferenceMs(): number {
  return Date.now() - performance.now();
}
