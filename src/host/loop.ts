import type { Effect } from '../core/effects.ts';
import type { Event } from '../core/events.ts';
import { reduce } from '../core/reduce.ts';
import type { State } from '../core/state.ts';

/** Passes events to the reducer one at a time, runs their effects, and schedules the next timer. */
export class Loop {
  private readonly queue: Event[] = [];
  private isDispatching = false;
  private isStopped = false;
  private timeout: NodeJS.Timeout | undefined;
  private scheduledFor = Infinity;

  private constructor(
    private readonly state: State,
    private readonly runEffect: (effect: Effect) => void,
    private readonly onTurn: (turnMs: number) => void,
    private readonly onError: (event: Event, error: unknown) => void,
  ) {}

  static create(options: {
    state: State;
    runEffect: (effect: Effect) => void;
    /** Called after each turn with its duration in ms. */
    onTurn: (turnMs: number) => void;
    onError: (event: Event, error: unknown) => void;
  }): Loop {
    return new Loop(options.state, options.runEffect, options.onTurn, options.onError);
  }

  /** Handles `event`; queues it if it is dispatched while another event is handled. */
  dispatch(event: Event): void {
    // Calls that end after the stop would start timers that keep the process alive.
    if (this.isStopped) return;
    this.queue.push(event);
    if (this.isDispatching) return;
    this.isDispatching = true;
    const startedAt = performance.now();
    try {
      this.handleQueue();
    } finally {
      this.isDispatching = false;
    }
    this.onTurn(performance.now() - startedAt);
    this.scheduleTick();
  }

  /** Stops the loop; later events are dropped. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timeout);
  }

  private handleQueue(): void {
    for (let event = this.queue.shift(); event !== undefined; event = this.queue.shift()) {
      this.handle(event);
    }
  }

  /** Drops an event whose handler throws, so that other requests on the host are not affected. */
  private handle(event: Event): void {
    try {
      for (const effect of reduce(this.state, event, performance.now())) this.runEffect(effect);
    } catch (error) {
      this.onError(event, error);
    }
  }

  private scheduleTick(): void {
    const due = this.state.timers.earliest ?? Infinity;
    if (due === this.scheduledFor || due === Infinity) return;
    clearTimeout(this.timeout);
    this.scheduledFor = due;
    // Node.js timers may fire up to 1 ms early, which would cause a turn without a due timer.
    const delay = Math.max(0, Math.ceil(due - performance.now()));
    this.timeout = setTimeout(() => {
      this.scheduledFor = Infinity;
      this.dispatch({ type: 'tick' });
    }, delay);
  }
}
