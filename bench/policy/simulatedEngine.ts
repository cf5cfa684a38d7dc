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

/** How a run on an engine ended. */
export type RunEnd = 'completed' | 'notResident' | 'broken' | 'unreachable';

interface Run {
  request: SimulatedRequest;
  stepsLeft: number;
  onEnded: (end: RunEnd) => void;
}

const URGENCY = { urgent: 0, ordinary: 1, draft: 2 } as const;

/** Model engine with adapter slots and continuous batching that loads one adapter at a time. */
export class SimulatedEngine {
  /** Time at which each resident adapter was loaded, by model. */
  readonly residents = new Map<string, number>();
  readonly running = new Map<string, Run>();
  /** Models that are loading or whose load waits. */
  readonly pending = new Set<string>();
  isDown = false;
  private waiting: Run[] = [];
  private loads: { model: string; onEnded: (isDone: boolean) => void }[] = [];
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

  /** Number of running and waiting requests. */
  get requestCount(): number {
    return this.running.size + this.waiting.length;
  }

  /** Whether a running or waiting request uses `model`. */
  hasRunning(model: string): boolean {
    return [...this.running.values(), ...this.waiting].some((run) => run.request.model === model);
  }

  /** Loads `model`; fails when no slot is free, as real engines do (design 7). */
  loadAdapter(model: string, onEnded: (isDone: boolean) => void): void {
    if (this.residents.has(model)) {
      onEnded(true);
      return;
    }
    if (this.isDown || this.residents.size + this.pending.size >= this.slots) {
      onEnded(false);
      return;
    }
    this.pending.add(model);
    this.loads.push({ model, onEnded });
    if (this.loads.length === 1) this.startLoad();
  }

  unloadAdapter(model: string, onEnded: () => void): void {
    if (this.hasRunning(model)) this.measure.evictedInUse += 1;
    this.clock.after(UNLOAD_MS, () => {
      this.residents.delete(model);
      onEnded();
    });
  }

  submit(request: SimulatedRequest, onEnded: (end: RunEnd) => void): void {
    if (this.isDown) {
      onEnded('unreachable');
      return;
    }
    if (!this.residents.has(request.model)) {
      onEnded('notResident');
      return;
    }
    const steps = request.outputTokens + Math.ceil(request.promptTokens / PREFILL_TOKENS_PER_STEP);
    this.waiting.push({ request, stepsLeft: steps, onEnded });
    this.waiting.sort((a, b) => URGENCY[a.request.kind] - URGENCY[b.request.kind]);
    this.step();
  }

  cancel(id: string): void {
    this.running.delete(id);
    this.waiting = this.waiting.filter((run) => run.request.id !== id);
  }

  /** Loses adapters, requests and loads, and stays down for `downMs`. */
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
    for (const run of lost) run.onEnded('broken');
    for (const { onEnded } of loads) onEnded(false);
  }

  getReport(): EngineReport {
    const running: Record<string, number> = {};
    for (const { request } of [...this.running.values(), ...this.waiting]) {
      running[request.model] = (running[request.model] ?? 0) + 1;
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
      load.onEnded(isDone);
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
      for (const { request } of this.running.values()) request.batchSlotMs += stepMs;
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
      this.running.delete(run.request.id);
      run.onEnded('completed');
    }
  }

  private admit(): void {
    while (this.running.size < BATCH) {
      const run = this.waiting.shift();
      if (run === undefined) return;
      this.running.set(run.request.id, run);
      const { request } = run;
      request.batchSlotMs = 0;
      if (request.startedAt === undefined) this.measure.changeWaiting(this.clock.now, -1);
      request.startedAt = this.clock.now;
      const residentAt = this.residents.get(request.model) ?? this.clock.now;
      request.stallMs = Math.max(0, residentAt - request.arrivesAt);
    }
  }
}
