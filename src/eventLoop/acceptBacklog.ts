import { ACCEPT_OVERLOAD_MS, MIN_OVERLOAD_CONNECTIONS } from './constants.ts';

/**
 * Knows whether connections wait in the kernel to be accepted. The event loop accepts one in each
 * iteration; an iteration that accepts none shows that none waits.
 */
export class AcceptBacklog {
  private hasAccepted = false;
  /** Monotonic ms since which each iteration accepted one, and how many that were. */
  private since: number | undefined;
  private accepted = 0;

  private constructor() {}

  static create(): AcceptBacklog {
    return new AcceptBacklog();
  }

  /** Records that a connection was accepted. */
  recordConnection(): void {
    this.hasAccepted = true;
    this.accepted += 1;
    if (this.since !== undefined) return;
    this.since = performance.now();
    this.check();
  }

  /** Whether more connections probably wait. */
  get isWaiting(): boolean {
    return this.since !== undefined;
  }

  /** Whether connections have waited for so long that this process will not catch up with them. */
  get isOverloaded(): boolean {
    if (this.since === undefined || this.accepted < MIN_OVERLOAD_CONNECTIONS) return false;
    return performance.now() - this.since >= ACCEPT_OVERLOAD_MS;
  }

  private check(): void {
    setImmediate(() => {
      if (!this.hasAccepted) {
        this.since = undefined;
        this.accepted = 0;
        return;
      }
      this.hasAccepted = false;
      this.check();
    });
  }
}
