import { MinHeap } from '../../src/base/minHeap.ts';

/** Simulated clock in ms; runs scheduled calls in the order of their times. */
export class SimulatedClock {
  now = 0;
  private readonly calls = MinHeap.create<() => void>();

  private constructor() {}

  static create(): SimulatedClock {
    return new SimulatedClock();
  }

  at(time: number, call: () => void): void {
    this.calls.push(Math.max(time, this.now), call);
  }

  after(delayMs: number, call: () => void): void {
    this.at(this.now + delayMs, call);
  }

  runUntil(end: number): void {
    for (;;) {
      const next = this.calls.earliest;
      if (next === undefined || next > end) break;
      this.now = next;
      this.calls.popDue(next)?.();
    }
    this.now = end;
  }
}
