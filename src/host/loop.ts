import type { Effect } from '../core/effects.ts';
import type { Event } from '../core/events.ts';
import { reduce } from '../core/reduce.ts';
import type { State } from '../core/state.ts';
import { TimerError } from '../core/timerError.ts';
import type { Timer } from '../core/timers.ts';

/** What failed in a turn of the loop. */
export type FailedStep = Event | Effect | Timer;

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
    private readonly onTimer: (dueAt: number) => void,
    private readonly onTurn: (turnMs: number) => void,
    private readonly onError: (step: FailedStep, error: unknown) => void,
  ) {}

  static create(options: {
    state: State;
    runEffect: (effect: Effect) => void;
    /** Called when a timer runs, with the monotonic ms at which it was due. */
    onTimer: (dueAt: number) => void;
    /** Called after each turn with its duration in ms. */
    onTurn: (turnMs: number) => void;
    /** Called for each handler and each effect that throws; the other effects run nevertheless. */
    onError: (step: FailedStep, error: unknown) => void;
  }): Loop {
    const { state, runEffect, onTimer, onTurn, onError } = options;
    return new Loop(state, runEffect, onTimer, onTurn, onError);
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

  private handle(event: Event): void {
    for (const effect of this.getEffects(event)) this.guard(effect, () => this.runEffect(effect));
  }

  /** Runs an effect, or a part of one that was put off; what it throws is handled as that of any effect. */
  guard(effect: Effect, run: () => void): void {
    try {
      run();
    } catch (error) {
      this.onError(effect, error);
    }
  }

  /** Drops an event whose handler throws, so that other requests on the host are not affected. */
  private getEffects(event: Event): readonly Effect[] {
    try {
      return reduce(this.state, event, performance.now());
    } catch (error) {
      if (!(error instanceof TimerError)) {
        this.onError(event, error);
        return [];
      }
      this.onError(error.timer, error.cause);
      // Timers that are due after the one that failed run next.
      this.queue.unshift({ type: 'tick' });
      return error.effects;
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
      this.onTimer(due);
      this.dispatch({ type: 'tick' });
    }, delay);
  }
}
