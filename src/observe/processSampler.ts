import { newCount, newObserve, type Observation } from '../core/observations.ts';

const SAMPLE_INTERVAL_MS = 1_000;
const US_PER_S = 1_000_000;

/** Records CPU time, memory and event loop lag of this process every second. */
export class ProcessSampler {
  private timer: NodeJS.Timeout | undefined;
  private cpuSeconds = 0;
  private dueAt = 0;

  private constructor(private readonly observe: (observation: Observation) => void) {}

  static create(observe: (observation: Observation) => void): ProcessSampler {
    return new ProcessSampler(observe);
  }

  start(): void {
    this.dueAt = performance.now() + SAMPLE_INTERVAL_MS;
    this.timer = setTimeout(() => {
      this.sample();
      this.start();
    }, SAMPLE_INTERVAL_MS).unref();
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private sample(): void {
    const lagMs = Math.max(0, performance.now() - this.dueAt);
    const { user, system } = process.cpuUsage();
    const cpuSeconds = (user + system) / US_PER_S;
    this.observe(newObserve('fireflywick_event_loop_lag_ms', {}, lagMs));
    this.observe(newCount('process_cpu_seconds_total', {}, cpuSeconds - this.cpuSeconds));
    const value = process.memoryUsage.rss();
    this.observe({ type: 'gauge', metric: 'process_resident_memory_bytes', labels: {}, value });
    this.cpuSeconds = cpuSeconds;
  }
}
