import type { Event } from '../core/events.ts';
import type { State } from '../core/state.ts';
import type { TurnQueue } from '../eventLoop/turnQueue.ts';
import { isRoutable } from '../fleet/endpointChoice.ts';
import type { AttemptSpec } from '../forwards/types.ts';
import type { Loop } from '../host/loop.ts';
import { isPausedSince } from '../notices/pauses.ts';
import type { EndpointNotice } from '../notices/types.ts';
import type { EndpointClient, RunningForwardAttempt } from './endpointClient.ts';
import type { ForwardExchange } from './forwardExchange.ts';
import { PathMonitor } from './pathMonitor.ts';

/** The parts of the host that sending attempts needs. */
export interface AttemptContext {
  readonly state: State;
  readonly exchanges: ReadonlyMap<string, ForwardExchange>;
  readonly turns: TurnQueue;
  readonly endpointClient: EndpointClient;
  readonly loop: Pick<Loop, 'guard'>;
  dispatch(event: Event): void;
  reportNotice(spec: AttemptSpec, notice: EndpointNotice | undefined): void;
}

/** Sends attempts of requests to endpoints in short turns, and watches the paths over which they go. */
export class AttemptSender {
  /** Attempts that are sent in the next turn. */
  private readonly queued = new Set<string>();
  private readonly running = new Map<string, RunningForwardAttempt>();
  /** Monitors of the paths to endpoints, by relay; that of direct connections under an empty name. */
  private readonly monitors = new Map<string, PathMonitor>();

  private constructor(private readonly host: AttemptContext) {}

  static create(host: AttemptContext): AttemptSender {
    return new AttemptSender(host);
  }

  /** Sends one attempt of a request to an endpoint, unless its caller is found to have left. */
  send(spec: AttemptSpec): void {
    const { turns, loop } = this.host;
    this.queued.add(spec.attempt);
    turns.run('send', () => {
      if (!this.queued.delete(spec.attempt)) return;
      loop.guard({ type: 'sendForward', spec }, () => this.sendQueued(spec));
    });
  }

  cancel(attempt: string): void {
    if (!this.queued.delete(attempt)) this.running.get(attempt)?.cancel();
  }

  /** Breaks an attempt off if nothing of its answer has arrived for `silentMs`. */
  breakIfSilent(attempt: string, silentMs: number): void {
    this.running.get(attempt)?.breakIfSilent(silentMs);
  }

  stop(): void {
    for (const monitor of this.monitors.values()) monitor.stop();
  }

  private sendQueued(spec: AttemptSpec): void {
    const { id, attempt } = spec;
    const { host } = this;
    const exchange = host.exchanges.get(id);
    if (exchange === undefined || isTooLate(spec, exchange)) {
      host.dispatch({ type: 'forwardEnded', id, attempt, outcome: { type: 'unsent' } });
      return;
    }
    const monitor = this.getMonitor(spec.relay?.host);
    monitor.recordSent();
    let isRead = true;
    const running = host.endpointClient.sendAttempt(spec, exchange, {
      isStillWanted: () => this.isStillWanted(spec),
      isTooLate: () => isTooLate(spec, exchange),
      onReceived: () => monitor.recordReceived(),
      onReadingPaused: () => {
        isRead = false;
        monitor.recordEnded(true);
      },
      onReadingResumed: () => {
        isRead = true;
        monitor.recordSent();
      },
      onNoticeRead: (notice) => host.reportNotice(spec, notice),
      onResponseStarted: () => host.dispatch({ type: 'forwardStarted', id, attempt }),
      onEnded: (outcome, hasReceived) => {
        if (isRead) monitor.recordEnded(hasReceived);
        this.running.delete(attempt);
        host.dispatch({ type: 'forwardEnded', id, attempt, outcome });
      },
    });
    // An attempt that fails immediately has ended before `sendAttempt` returns.
    if (!running.hasEnded) this.running.set(attempt, running);
  }

  /** Whether an endpoint still takes a request that was to be sent to it at `sentAt`. */
  private isStillWanted({ endpoint, sentAt }: AttemptSpec): boolean {
    const view = this.host.state.fleet.views.get(endpoint);
    return (
      view !== undefined && isRoutable(view) && !isPausedSince(view, sentAt, performance.now())
    );
  }

  private getMonitor(relay: string | undefined): PathMonitor {
    const known = this.monitors.get(relay ?? '');
    if (known !== undefined) return known;
    const monitor = PathMonitor.create((silentMs) =>
      this.host.dispatch({ type: 'pathSilent', relay, silentMs }),
    );
    this.monitors.set(relay ?? '', monitor);
    return monitor;
  }
}

/** Whether nobody waits for the answer to an attempt any more; its request ends without another attempt. */
function isTooLate({ deadlineAt }: AttemptSpec, exchange: ForwardExchange): boolean {
  return exchange.hasCallerLeft || performance.now() >= deadlineAt;
}
