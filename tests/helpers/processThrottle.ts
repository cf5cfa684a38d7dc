import { setTimeout as sleep } from 'node:timers/promises';

/** Part of each period for which a throttled process runs. */
interface Share {
  runMs: number;
  periodMs: number;
}

/** Lets a process run for a part of the time only, as a host does that has little processor time. */
export class ProcessThrottle {
  private isStopped = false;
  private readonly ended: Promise<void>;

  private constructor(
    private readonly pid: number,
    share: Share,
  ) {
    this.ended = this.run(share);
  }

  static create(pid: number, share: Share): ProcessThrottle {
    return new ProcessThrottle(pid, share);
  }

  /** Lets the process run freely. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.ended;
    process.kill(this.pid, 'SIGCONT');
  }

  private async run({ runMs, periodMs }: Share): Promise<void> {
    let dueAt = performance.now();
    while (!this.isStopped) {
      process.kill(this.pid, 'SIGCONT');
      await sleep(runMs);
      process.kill(this.pid, 'SIGSTOP');
      dueAt = Math.max(performance.now(), dueAt + periodMs);
      await sleep(dueAt - performance.now());
    }
  }
}
