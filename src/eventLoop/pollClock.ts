import { MIN_IDLE_MS } from './constants.ts';

/** Times at the end of an iteration of the event loop, in monotonic ms. */
interface Iteration {
  endedAt: number;
  /** Total time for which the event loop has waited for something to arrive. */
  idleMs: number;
}

/**
 * Knows for how long bytes that this process reads now may have waited in the kernel. A process that is
 * late with its work, or was suspended, reads late.
 */
export class PollClock {
  private last = getIteration();
  private beforeLast = this.last;
  private timerDelayMs = 0;
  private immediate: NodeJS.Immediate | undefined;

  private constructor() {}

  static create(): PollClock {
    return new PollClock();
  }

  /** Starts to observe the event loop; does not keep the process alive. */
  start(): void {
    // Runs after each poll; without a reference, it does not keep the poll from waiting.
    this.immediate = setImmediate(() => {
      this.recordIteration();
      this.start();
    }).unref();
  }

  stop(): void {
    clearImmediate(this.immediate);
  }

  /** Records that a timer which was due at `dueAt`, in monotonic ms, runs now. */
  recordTimer(dueAt: number): void {
    this.timerDelayMs = Math.max(this.timerDelayMs, performance.now() - dueAt);
  }

  /** Returns the longest time in ms for which bytes that are read now may have waited. */
  getReadDelayMs(): number {
    const now = getIteration();
    // A poll that waited found nothing that had arrived before.
    const hasWaited = now.idleMs - this.last.idleMs >= MIN_IDLE_MS;
    const since = hasWaited ? this.last : this.beforeLast;
    const busyMs = now.endedAt - since.endedAt - (now.idleMs - since.idleMs);
    // The time of a suspension counts as waiting; only timers that run late show it.
    return Math.max(0, busyMs, this.timerDelayMs);
  }

  private recordIteration(): void {
    this.beforeLast = this.last;
    this.last = getIteration();
    this.timerDelayMs = 0;
  }
}

function getIteration(): Iteration {
  return { endedAt: performance.now(), idleMs: performance.eventLoopUtilization().idle };
}
