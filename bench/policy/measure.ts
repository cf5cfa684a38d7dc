import { BATCH, WARM_UP_MS } from './constants.ts';
import type { SimulatedRequest } from './types.ts';

/** Results of one run; docs/measures.md defines them. */
export interface RunResult {
  /** Mean load stall in ms, by `firm/kind` and by kind (`urgent`). */
  readonly stallMs: Record<string, number>;
  /** Batch efficiency, 0 to 1, of the deployment (`all`) and by firm. */
  readonly efficiency: Record<string, number>;
  readonly completed: number;
  readonly failed: number;
  /** Requests that had neither ended nor failed at the end of the run. */
  readonly open: number;
  readonly tokensPerS: number;
  readonly loads: number;
  /** Unload orders that hit an adapter in use; must be 0. */
  readonly evictedInUse: number;
}

/** Integrates the idle time of engines while requests wait, and the place time of batches. */
export class RunMeasurement {
  evictedInUse = 0;
  private waiting = 0;
  private idleEngines = 0;
  private updatedAt = 0;
  private idleMs = 0;
  private busyMs = 0;

  private constructor() {}

  static create(): RunMeasurement {
    return new RunMeasurement();
  }

  changeWaiting(now: number, by: number): void {
    this.advance(now);
    this.waiting += by;
  }

  changeIdle(now: number, by: number): void {
    this.advance(now);
    this.idleEngines += by;
  }

  addStep(now: number, stepMs: number): void {
    if (now >= WARM_UP_MS) this.busyMs += stepMs;
  }

  getResult(jobs: readonly SimulatedRequest[], loads: number, end: number): RunResult {
    this.advance(end);
    const measured = jobs.filter((job) => job.arrivesAt >= WARM_UP_MS && job.arrivesAt < end);
    const seconds = (end - WARM_UP_MS) / 1000;
    const done = jobs.filter(
      (job) => job.endedAt !== undefined && job.endedAt >= WARM_UP_MS && !job.isFailed,
    );
    return {
      stallMs: getStalls(measured, end),
      efficiency: this.getEfficiency(jobs),
      completed: measured.filter((job) => job.endedAt !== undefined && !job.isFailed).length,
      failed: measured.filter((job) => job.isFailed).length,
      open: measured.filter((job) => job.endedAt === undefined).length,
      tokensPerS: done.reduce((sum, job) => sum + job.outputTokens, 0) / seconds,
      loads,
      evictedInUse: this.evictedInUse,
    };
  }

  private getEfficiency(jobs: readonly SimulatedRequest[]): Record<string, number> {
    const places = BATCH * (this.busyMs + this.idleMs);
    const used: Record<string, number> = { all: 0 };
    for (const job of jobs) {
      if (job.isFailed) continue;
      used.all = (used.all ?? 0) + job.batchSlotMs;
      used[job.firm] = (used[job.firm] ?? 0) + job.batchSlotMs;
    }
    return Object.fromEntries(
      Object.entries(used).map(([firm, placeMs]) => [firm, places > 0 ? placeMs / places : 0]),
    );
  }

  private advance(now: number): void {
    const from = Math.max(this.updatedAt, WARM_UP_MS);
    if (this.waiting > 0 && now > from) this.idleMs += (now - from) * this.idleEngines;
    this.updatedAt = now;
  }
}

function getStalls(jobs: readonly SimulatedRequest[], end: number): Record<string, number> {
  const sums = new Map<string, { sum: number; count: number }>();
  for (const job of jobs) {
    const stall = getStallMs(job, end);
    for (const key of [job.kind, `${job.firm}/${job.kind}`]) {
      const entry = sums.get(key) ?? { sum: 0, count: 0 };
      sums.set(key, { sum: entry.sum + stall, count: entry.count + 1 });
    }
  }
  return Object.fromEntries(
    [...sums.entries()].sort().map(([key, { sum, count }]) => [key, sum / count]),
  );
}

/** A request that failed counts with its whole time limit, so that refusing does not pay. */
function getStallMs(job: SimulatedRequest, end: number): number {
  if (job.isFailed) return job.deadlineAt - job.arrivesAt;
  if (job.startedAt === undefined) return Math.min(end, job.deadlineAt) - job.arrivesAt;
  return job.stallMs;
}
