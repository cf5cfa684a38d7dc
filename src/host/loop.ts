import type { Effect } from '../core/effects.ts';
import type { Event } from '../core/events.ts';
import { reduce } from '../core/reduce.ts';
import type { State } from '../core/state.ts';

/** Feeds events to the reducer one at a time and arms the timer of the earliest due time. */
export class Loop {
  private readonly queue: Event[] = [];
  private isDraining = false;
  private isStopped = false;
  private timeout: NodeJS.Timeout | undefined;
  private armedFor = Infinity;

  private constructor(
    private readonly state: State,
    private readonly runEffect: (effect: Effect) => void,
    private readonly onTurn: (turnMs: number) => void,
    private readonly onError: (event: Event, error: unknown) => void,
  ) {}

  static create(options: {
    state: State;
    runEffect: (effect: Effect) => void;
    /** Receives the time that a turn took, in ms. */
    onTurn: (turnMs: number) => void;
    onError: (event: Event, error: unknown) => void;
  }): Loop {
    return new Loop(options.state, options.runEffect, options.onTurn, options.onError);
  }

  /** Handles `event`, or queues it when it comes from within an effect. */
  dispatch(event: Event): void {
    // Calls that end after the stop would arm timers that keep the process alive.
    if (this.isStopped) return;
    this.queue.push(event);
    if (this.isDraining) return;
    this.isDraining = true;
    const startedAt = performance.now();
    this.drain();
    this.isDraining = false;
    this.onTurn(performance.now() - startedAt);
    this.arm();
  }

  /** Ends the loop: events are dropped from now on. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timeout);
  }

  private drain(): void {
    for (let event = this.queue.shift(); event !== undefined; event = this.queue.shift()) {
      this.handle(event);
    }
  }

  /** An event whose handler fails is dropped: every other request on the host goes on. */
  private handle(event: Event): void {
    try {
      for (const effect of reduce(this.state, event, performance.now())) this.runEffect(effect);
    } catch (error) {
      this.onError(event, error);
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
