import type { Dispatcher } from 'undici';

/** Why the rest of a response is not read: its caller reads slowly, or other connections have their turn. */
export type PauseReason = 'caller' | 'turn';

/** Pauses the reading of one response, and resumes it once no reason is left. */
export class PausableReading {
  private readonly reasons = new Set<PauseReason>();

  private constructor() {}

  static create(): PausableReading {
    return new PausableReading();
  }

  isPausedFor(reason: PauseReason): boolean {
    return this.reasons.has(reason);
  }

  pause(controller: Dispatcher.DispatchController, reason: PauseReason): void {
    this.reasons.add(reason);
    controller.pause();
  }

  resume(controller: Dispatcher.DispatchController, reason: PauseReason): void {
    this.reasons.delete(reason);
    if (this.reasons.size === 0) controller.resume();
  }
}
