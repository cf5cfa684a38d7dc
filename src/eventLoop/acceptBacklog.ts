import { ACCEPT_OVERLOAD_MS } from './constants.ts';

/**
 * Knows whether connections wait in the kernel to be accepted. The event loop accepts one in each
 * iteration; an iteration that accepts none shows that none waits.
 */
export class AcceptBacklog {
  private hasAccepted = false;
  private since: number | undefined;

  private constructor() {}

  static create(): AcceptBacklog {
    return new AcceptBacklog();
  }

  /** Records that a connection was accepted. */
  recordConnection(): void {
    this.hasAccepted = true;
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
    return this.since !== undefined && performance.now() - this.since >= ACCEPT_OVERLOAD_MS;
  }

  private check(): void {
    setImmediate(() => {
      if (!this.hasAccepted) {
        this.since = undefined;
        return;
      }
      this.hasAccepted = false;
      this.check();
    });
  }
}
