import { PATH_SILENCE_MS } from '../paths/constants.ts';

/** Watches whether anything arrives over a path to endpoints while attempts wait for answers. */
export class PathMonitor {
  private running = 0;
  /** Monotonic ms of the last byte, or of the first attempt after it; undefined while none waits. */
  private waitingSince: number | undefined;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly onSilent: (silentMs: number) => void) {}

  /** Creates a monitor that calls `onSilent` each time that PATH_SILENCE_MS pass without a byte. */
  static create(onSilent: (silentMs: number) => void): PathMonitor {
    return new PathMonitor(onSilent);
  }

  /** Records an attempt whose answer is awaited from now on, or read again after a pause. */
  recordSent(): void {
    this.running += 1;
    if (this.waitingSince === undefined) this.startWaiting();
  }

  recordReceived(): void {
    if (this.waitingSince !== undefined) this.waitingSince = performance.now();
  }

  /** Records the end of an attempt, or that its answer is not read for a time; one that ended without a byte of an answer keeps the path under watch. */
  recordEnded(hasReceived: boolean): void {
    this.running -= 1;
    if (this.running === 0 && hasReceived) this.stop();
  }

  stop(): void {
    clearTimeout(this.timer);
    this.waitingSince = undefined;
  }

  private startWaiting(): void {
    this.waitingSince = performance.now();
    this.schedule(PATH_SILENCE_MS);
  }

  private schedule(ms: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.check(), ms);
    this.timer.unref();
  }

  private check(): void {
    if (this.waitingSince === undefined) return;
    const silentMs = performance.now() - this.waitingSince;
    if (silentMs < PATH_SILENCE_MS) {
      this.schedule(PATH_SILENCE_MS - silentMs);
      return;
    }
    this.onSilent(silentMs);
    if (this.running === 0) this.stop();
    else this.startWaiting();
  }
}
