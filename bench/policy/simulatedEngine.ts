import type { EngineReport } from '../../src/engines/types.ts';
import type { SimulatedClock } from './simulatedClock.ts';
import {
  BATCH,
  PREFILL_TOKENS_PER_STEP,
  STEP_BASE_MS,
  STEP_PER_REQUEST_MS,
  UNLOAD_MS,
  WARM_UP_MS,
} from './constants.ts';
import type { RunMeasurement } from './measure.ts';
import type { SimulatedRequest } from './types.ts';
import type { SimulatedWeightStore } from './simulatedWeightStore.ts';

export type RunEnd = 'completed' | 'notResident' | 'broken' | 'unreachable';

interface Run {
  job: SimulatedRequest;
  stepsLeft: number;
  ended: (end: RunEnd) => void;
}

const URGENCY = { urgent: 0, ordinary: 1, draft: 2 } as const;

/** A model engine: adapter slots, continuous batching, one load at a time. */
export class SimulatedEngine {
  /** Time at which each resident arrived. */
  readonly residents = new Map<string, number>();
  readonly running = new Map<string, Run>();
  readonly pending = new Set<string>();
  isDown = false;
  private waiting: Run[] = [];
  private loads: { model: string; ended: (isDone: boolean) => void }[] = [];
  private boot = 1;
  private isStepping = false;

  private constructor(
    readonly id: string,
    readonly zone: string,
    readonly slots: number,
    private readonly clock: SimulatedClock,
    private readonly store: SimulatedWeightStore,
    private readonly measure: RunMeasurement,
  ) {}

  static create(options: {
    id: string;
    zone: string;
    slots: number;
    clock: SimulatedClock;
    store: SimulatedWeightStore;
    measure: RunMeasurement;
  }): SimulatedEngine {
    const { id, zone, slots, clock, store, measure } = options;
    measure.changeIdle(clock.now, 1);
    return new SimulatedEngine(id, zone, slots, clock, store, measure);
  }

  get requestCount(): number {
    return this.running.size + this.waiting.length;
  }

  hasRunning(model: string): boolean {
    return [...this.running.values(), ...this.waiting].some((run) => run.job.model === model);
  }

  /** Loads `model`; fails when no slot is free, as engines do (design 7). */
  loadAdapter(model: string, ended: (isDone: boolean) => void): void {
    if (this.residents.has(model)) {
      ended(true);
      return;
    }
    if (this.isDown || this.residents.size + this.pending.size >= this.slots) {
      ended(false);
      return;
    }
    this.pending.add(model);
    this.loads.push({ model, ended });
    if (this.loads.length === 1) this.startLoad();
  }

  unloadAdapter(model: string, ended: () => void): void {
    if (this.hasRunning(model)) this.measure.evictedInUse += 1;
    this.clock.after(UNLOAD_MS, () => {
      this.residents.delete(model);
      ended();
    });
  }

  submit(job: SimulatedRequest, ended: (end: RunEnd) => void): void {
    if (this.isDown) {
      ended('unreachable');
      return;
    }
    if (!this.residents.has(job.model)) {
      ended('notResident');
      return;
    }
    const steps = job.outputTokens + Math.ceil(job.promptTokens / PREFILL_TOKENS_PER_STEP);
    this.waiting.push({ job, stepsLeft: steps, ended });
    this.waiting.sort((a, b) => URGENCY[a.job.kind] - URGENCY[b.job.kind]);
    this.step();
  }

  cancel(id: string): void {
    this.running.delete(id);
    this.waiting = this.waiting.filter((run) => run.job.id !== id);
  }

  /** Loses everything and stays down for `downMs`. */
  restart(downMs: number): void {
    const lost = [...this.running.values(), ...this.waiting];
    const loads = this.loads;
    this.running.clear();
    this.waiting = [];
    this.loads = [];
    this.pending.clear();
    this.residents.clear();
    this.boot += 1;
    this.isDown = true;
    this.clock.after(downMs, () => {
      this.isDown = false;
    });
    for (const run of lost) run.ended('broken');
    for (const { ended } of loads) ended(false);
  }

  getReport(): EngineReport {
    const running: Record<string, number> = {};
    for (const { job } of [...this.running.values(), ...this.waiting]) {
      running[job.model] = (running[job.model] ?? 0) + 1;
    }
    return {
      bootId: String(this.boot),
      running,
      waiting: this.waiting.length,
      slots: this.slots,
      residents: [...this.residents.keys()],
    };
  }

  private startLoad(): void {
    const boot = this.boot;
    this.store.load((isDone) => {
      const load = this.boot === boot ? this.loads.shift() : undefined;
      if (load === undefined) return;
      this.pending.delete(load.model);
      if (isDone) this.residents.set(load.model, this.clock.now);
      if (this.loads.length > 0) this.startLoad();
      load.ended(isDone);
    });
  }

  private step(): void {
    if (this.isStepping) return;
    this.admit();
    if (this.running.size === 0) return;
    this.isStepping = true;
    this.measure.changeIdle(this.clock.now, -1);
    this.runStep();
  }

  private runStep(): void {
    const boot = this.boot;
    const stepMs = STEP_BASE_MS + STEP_PER_REQUEST_MS * this.running.size;
    this.measure.addStep(this.clock.now, stepMs);
    if (this.clock.now >= WARM_UP_MS) {
      for (const { job } of this.running.values()) job.batchSlotMs += stepMs;
    }
    this.clock.after(stepMs, () => {
      if (this.boot === boot) this.finishStep();
      this.admit();
      if (this.running.size > 0) {
        this.runStep();
        return;
      }
      this.isStepping = false;
      this.measure.changeIdle(this.clock.now, 1);
    });
  }

  private finishStep(): void {
    for (const run of [...this.running.values()]) {
      run.stepsLeft -= 1;
      if (run.stepsLeft > 0) continue;
      this.running.delete(run.job.id);
      run.ended('completed');
    }
  }

  private admit(): void {
    while (this.running.size < BATCH) {
      const run = this.waiting.shift();
      if (run === undefined) return;
      this.running.set(run.job.id, run);
      const { job } = run;
      job.batchSlotMs = 0;
      if (job.startedAt === undefined) this.measure.changeWaiting(this.clock.now, -1);
      job.startedAt = this.clock.now;
      const residentAt = this.residents.get(job.model) ?? this.clock.now;
      job.stallMs = Math.max(0, residentAt - job.arrivesAt);
    }
  }
}
