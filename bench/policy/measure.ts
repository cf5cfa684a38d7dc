import { BATCH, WARM_UP_MS } from './constants.ts';
import type { SimulatedRequest } from './types.ts';

/** Results of one run; docs/measures.md defines them. */
export interface RunResult {
  /** Mean load stall in ms by kind, such as `urgent`, and by `firm/kind`. */
  readonly stallMs: Record<string, number>;
  /** Batch efficiency from 0 to 1, of the whole deployment (`all`) and by firm. */
  readonly efficiency: Record<string, number>;
  readonly completed: number;
  readonly failed: number;
  /** Requests that had neither completed nor failed when the run ended. */
  readonly open: number;
  readonly tokensPerS: number;
  readonly loads: number;
  /** Unload orders for an adapter in use; must be 0. */
  readonly evictedInUse: number;
}

/** Sums up the idle time of engines while requests wait, and the used batch slot time. */
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

  getResult(requests: readonly SimulatedRequest[], loads: number, end: number): RunResult {
    this.advance(end);
    const measured = requests.filter(
      (request) => request.arrivesAt >= WARM_UP_MS && request.arrivesAt < end,
    );
    const seconds = (end - WARM_UP_MS) / 1000;
    const done = requests.filter(
      (request) =>
        request.endedAt !== undefined && request.endedAt >= WARM_UP_MS && !request.isFailed,
    );
    return {
      stallMs: getStalls(measured, end),
      efficiency: this.getEfficiency(requests),
      completed: measured.filter((request) => request.endedAt !== undefined && !request.isFailed)
        .length,
      failed: measured.filter((request) => request.isFailed).length,
      open: measured.filter((request) => request.endedAt === undefined).length,
      tokensPerS: done.reduce((sum, request) => sum + request.outputTokens, 0) / seconds,
      loads,
      evictedInUse: this.evictedInUse,
    };
  }

  private getEfficiency(requests: readonly SimulatedRequest[]): Record<string, number> {
    const availableSlotMs = BATCH * (this.busyMs + this.idleMs);
    const used: Record<string, number> = { all: 0 };
    for (const request of requests) {
      if (request.isFailed) continue;
      used.all = (used.all ?? 0) + request.batchSlotMs;
      used[request.firm] = (used[request.firm] ?? 0) + request.batchSlotMs;
    }
    return Object.fromEntries(
      Object.entries(used).map(([firm, usedSlotMs]) => [
        firm,
        availableSlotMs > 0 ? usedSlotMs / availableSlotMs : 0,
      ]),
    );
  }

  private advance(now: number): void {
    const from = Math.max(this.updatedAt, WARM_UP_MS);
    if (this.waiting > 0 && now > from) this.idleMs += (now - from) * this.idleEngines;
    this.updatedAt = now;
  }
}

function getStalls(requests: readonly SimulatedRequest[], end: number): Record<string, number> {
  const sums = new Map<string, { sum: number; count: number }>();
  for (const request of requests) {
    const stall = getStallMs(request, end);
    for (const key of [request.kind, `${request.firm}/${request.kind}`]) {
      const entry = sums.get(key) ?? { sum: 0, count: 0 };
      sums.set(key, { sum: entry.sum + stall, count: entry.count + 1 });
    }
  }
  return Object.fromEntries(
    [...sums.entries()].sort().map(([key, { sum, count }]) => [key, sum / count]),
  );
}

/** A failed request counts with its whole time limit, so that refusals do not improve the result. */
function getStallMs(request: SimulatedRequest, end: number): number {
  if (request.isFailed) return request.deadlineAt - request.arrivesAt;
  if (request.startedAt === undefined) return Math.min(end, request.deadlineAt) - request.arrivesAt;
  return request.stallMs;
}
