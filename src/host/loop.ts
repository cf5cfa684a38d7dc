import type { Effect } from '../core/effects.ts';
import type { Event } from '../core/events.ts';
import { reduce } from '../core/reduce.ts';
import type { State } from '../core/state.ts';

/** Feeds events to the reducer one at a time and arms the timer of the earliest due time. */
export class Loop {
  private readonly queue: Event[] = [];
  private isDraining = false;
  private timeout: NodeJS.Timeout | undefined;
  private armedFor = Infinity;

  private constructor(
    private readonly state: State,
    private readonly runEffect: (effect: Effect) => void,
  ) {}

  static create(state: State, runEffect: (effect: Effect) => void): Loop {
    return new Loop(state, runEffect);
  }

  /** Handles `event`, or queues it when it comes from within an effect. */
  dispatch(event: Event): void {
    this.queue.push(event);
    if (this.isDraining) return;
    this.isDraining = true;
    try {
      this.drain();
    } finally {
      this.isDraining = false;
    }
    this.arm();
  }

  stop(): void {
    clearTimeout(this.timeout);
  }

  private drain(): void {
    for (let event = this.queue.shift(); event !== undefined; event = this.queue.shift()) {
      for (const effect of reduce(this.state, event, performance.now())) this.runEffect(effect);
    }
  }

  private arm(): void {
    const due = this.state.timers.earliest ?? Infinity;
    if (due === this.armedFor || due === Infinity) return;
    clearTimeout(this.timeout);
    this.armedFor = due;
    // Timers of the runtime may fire up to 1 ms early, which would cost an idle turn.
    const delay = Math.max(0, Math.ceil(due - performance.now()));
    this.timeout = setTimeout(() => {
      this.armedFor = Infinity;
      this.dispatch({ type: 'tick' });
    }, delay);
  }
}
