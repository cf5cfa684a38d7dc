import type { AcceptBacklog } from './acceptBacklog.ts';
import { MAX_ACCEPT_MS, TURN_MS } from './constants.ts';

type Job = () => void;

/** What a job does: sends a request that was taken before, or takes one. */
export type JobKind = 'send' | 'take';

/**
 * Runs jobs in short turns. Before a job runs, everything is read that had arrived when it was queued, and
 * between two turns what has arrived meanwhile. So a job knows of a caller that has left even if this
 * process is late: the end of a connection is read one iteration of the event loop after its last bytes.
 */
export class TurnQueue {
  private readonly queues: Record<JobKind, Job[]> = { send: [], take: [] };
  /** Jobs that were queued since the last poll. */
  private queued: [JobKind, Job][] = [];
  /** Monotonic ms at which the last request was taken. */
  private lastTakenAt = 0;
  private isScheduled = false;
  private isInTurn = false;

  private constructor(
    private readonly backlog: AcceptBacklog,
    private readonly onError: (error: unknown) => void,
  ) {}

  /** `onError` is called with what a job throws; the other jobs run nevertheless. */
  static create(backlog: AcceptBacklog, onError: (error: unknown) => void): TurnQueue {
    return new TurnQueue(backlog, onError);
  }

  /** Queues a job; jobs of one kind run in order, those that send before those that take. */
  push(kind: JobKind, job: Job): void {
    this.queued.push([kind, job]);
    this.schedule();
  }

  /** Runs a job now if a turn is in progress, or else queues it. */
  run(kind: JobKind, job: Job): void {
    if (this.isInTurn) job();
    else this.push(kind, job);
  }

  /** Resolves in a later turn. */
  wait(kind: JobKind): Promise<void> {
    return new Promise((resolve) => this.push(kind, resolve));
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    // Runs after the poll of this iteration, in which the jobs were queued, or of the next one.
    setImmediate(() => this.startTurn());
  }

  private startTurn(): void {
    this.isScheduled = false;
    this.runJobs(this.mayTake());
    for (const [kind, job] of this.queued) this.queues[kind].push(job);
    this.queued = [];
    if (this.queues.send.length + this.queues.take.length > 0) this.schedule();
  }

  /** Whether requests may be taken, which would keep connections waiting that are not accepted yet. */
  private mayTake(): boolean {
    return !this.backlog.isWaiting || performance.now() - this.lastTakenAt >= MAX_ACCEPT_MS;
  }

  private runJobs(mayTake: boolean): void {
    this.isInTurn = true;
    const endsAt = performance.now() + TURN_MS;
    for (let job = this.next(mayTake); job !== undefined; job = this.next(mayTake)) {
      this.runJob(job);
      if (performance.now() >= endsAt) break;
    }
    this.isInTurn = false;
    if (mayTake) this.lastTakenAt = performance.now();
  }

  private next(mayTake: boolean): Job | undefined {
    return this.queues.send.shift() ?? (mayTake ? this.queues.take.shift() : undefined);
  }

  private runJob(job: Job): void {
    try {
      job();
    } catch (error) {
      this.onError(error);
    }
  }
}
