import type { Job } from './job.ts';

/** Continuous batch: each step generates one token per running job; waiting jobs join by priority. */
export class Batch {
  readonly running = new Set<Job>();
  private waiting: Job[] = [];
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly options: { maxBatch: number; stepMs: number },
    /** Called when a job joins the batch; returns false when the engine crashed and the step must stop. */
    private readonly onStart: (job: Job) => boolean,
    private readonly onChange: () => void,
  ) {}

  static create(
    options: { maxBatch: number; stepMs: number },
    onStart: (job: Job) => boolean,
    onChange: () => void,
  ): Batch {
    return new Batch(options, onStart, onChange);
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Queues `job` behind all jobs with the same or a lower priority number. */
  add(job: Job): void {
    const later = this.waiting.findIndex(({ body }) => body.priority > job.body.priority);
    this.waiting.splice(later === -1 ? this.waiting.length : later, 0, job);
    this.scheduleStep();
    this.onChange();
  }

  remove(job: Job): void {
    this.running.delete(job);
    this.waiting = this.waiting.filter((other) => other !== job);
    this.onChange();
  }

  /** Removes and returns all running and waiting jobs. */
  clear(): Job[] {
    clearTimeout(this.timer);
    this.timer = undefined;
    const jobs = [...this.running, ...this.waiting];
    this.running.clear();
    this.waiting = [];
    return jobs;
  }

  private scheduleStep(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.runStep();
    }, this.options.stepMs);
  }

  private runStep(): void {
    while (this.running.size < this.options.maxBatch) {
      const job = this.waiting.shift();
      if (job === undefined) break;
      this.running.add(job);
      job.state = 'running';
      if (!this.onStart(job)) return;
    }
    for (const job of this.running) {
      if (job.prefillSteps > 0) job.prefillSteps--;
      else job.generateToken();
      if (job.hasEnded) this.running.delete(job);
    }
    if (this.running.size > 0 || this.waiting.length > 0) this.scheduleStep();
    this.onChange();
  }
}
