import { BATCH } from './constants.ts';
import type { SimulatedEngine } from './simulatedEngine.ts';
import type { Policy, Simulation } from './simulation.ts';
import type { SimulatedRequest } from './types.ts';

const URGENCY = { urgent: 0, ordinary: 1, draft: 2 } as const;

/** Loads that requests of other kinds leave to urgent ones. */
const URGENT_RESERVE_LOADS = 2;

/**
 * Clairvoyant reference: one central queue without latency that knows all arrivals. It loads on
 * demand, urgent requests first and then the adapter that most requests wait for, and evicts the
 * idle adapter that is needed latest.
 */
export class ClairvoyantBound implements Policy {
  private waiting = new Map<string, SimulatedRequest[]>();
  private readonly arrivals = new Map<string, number[]>();
  private readonly unloading = new Map<SimulatedEngine, string>();
  private isScheduled = false;

  private constructor(private readonly simulation: Simulation) {}

  static create(simulation: Simulation): ClairvoyantBound {
    return new ClairvoyantBound(simulation);
  }

  start(): void {
    for (const job of this.simulation.jobs) {
      const times = this.arrivals.get(job.model) ?? [];
      times.push(job.arrivesAt);
      this.arrivals.set(job.model, times);
    }
  }

  arrive(job: SimulatedRequest): void {
    const jobs = this.waiting.get(job.model) ?? [];
    jobs.push(job);
    this.waiting.set(job.model, jobs);
    if (job.kind !== 'draft') {
      this.simulation.clock.at(job.deadlineAt, () => {
        if (this.remove(job)) this.simulation.fail(job, () => undefined);
      });
    }
    this.serve();
  }

  private remove(job: SimulatedRequest): boolean {
    const jobs = this.waiting.get(job.model);
    const index = jobs?.indexOf(job) ?? -1;
    if (jobs === undefined || index < 0) return false;
    jobs.splice(index, 1);
    if (jobs.length === 0) this.waiting.delete(job.model);
    return true;
  }

  private serve(): void {
    const { engines } = this.simulation;
    for (const [model, jobs] of [...this.waiting]) {
      const holders = engines.filter((engine) => engine.residents.has(model));
      for (const job of jobs.sort((a, b) => URGENCY[a.kind] - URGENCY[b.kind]).slice()) {
        const engine = holders
          .filter((holder) => holder.requestCount < BATCH && this.unloading.get(holder) !== model)
          .sort((a, b) => a.requestCount - b.requestCount)[0];
        if (engine === undefined) break;
        this.remove(job);
        this.submit(engine, job);
      }
    }
    this.startLoads();
  }

  private submit(engine: SimulatedEngine, job: SimulatedRequest): void {
    engine.submit(job, (end) => {
      if (end === 'completed') {
        this.simulation.complete(job);
        this.serve();
      } else {
        this.simulation.clock.after(1, () => this.arrive(job));
      }
    });
  }

  private startLoads(): void {
    const { engines, store } = this.simulation;
    for (;;) {
      const wanted = this.getLoadCandidate();
      if (wanted === undefined) return;
      // Tokens are kept back for urgent requests.
      const delayMs = store.getStartDelayMs(wanted.urgency === 0 ? 1 : 1 + URGENT_RESERVE_LOADS);
      if (delayMs > 0) {
        this.serveAfter(delayMs);
        return;
      }
      const free = engines.filter(
        (engine) =>
          !engine.isDown &&
          engine.pending.size === 0 &&
          !this.unloading.has(engine) &&
          engine.residents.size < engine.slots &&
          !engine.residents.has(wanted.model),
      );
      const target = free.sort((a, b) => a.requestCount - b.requestCount)[0];
      if (target === undefined) {
        this.evict(wanted.model);
        return;
      }
      target.loadAdapter(wanted.model, () => this.serve());
    }
  }

  private serveAfter(delayMs: number): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.simulation.clock.after(delayMs, () => {
      this.isScheduled = false;
      this.serve();
    });
  }

  /** Most pressing adapter that is neither resident with room nor on its way. */
  private getLoadCandidate(): { model: string; urgency: number } | undefined {
    const { engines } = this.simulation;
    let best: { model: string; rank: [number, number] } | undefined;
    for (const [model, jobs] of this.waiting) {
      const isComing = engines.some((engine) => engine.pending.has(model));
      const isHeld = engines.some((engine) => engine.residents.has(model));
      if (isComing || (isHeld && jobs.length < 8)) continue;
      const urgency = Math.min(...jobs.map((job) => URGENCY[job.kind]));
      const rank: [number, number] = [urgency, -jobs.length];
      if (
        best === undefined ||
        rank[0] < best.rank[0] ||
        (rank[0] === best.rank[0] && rank[1] < best.rank[1])
      ) {
        best = { model, rank };
      }
    }
    return best === undefined ? undefined : { model: best.model, urgency: best.rank[0] };
  }

  private evict(wanted: string): void {
    if (this.unloading.size > 0) return;
    let best: { engine: SimulatedEngine; model: string; next: number } | undefined;
    for (const engine of this.simulation.engines) {
      if (engine.isDown || this.unloading.has(engine) || engine.pending.size > 0) continue;
      for (const model of engine.residents.keys()) {
        if (model === wanted || this.waiting.has(model) || engine.hasRunning(model)) continue;
        const next = this.getNextArrival(model);
        if (best === undefined || next > best.next) best = { engine, model, next };
      }
    }
    if (best === undefined) return;
    const { engine, model } = best;
    this.unloading.set(engine, model);
    engine.unloadAdapter(model, () => {
      this.unloading.delete(engine);
      this.serve();
    });
  }

  private getNextArrival(model: string): number {
    const times = this.arrivals.get(model) ?? [];
    while ((times[0] ?? Infinity) <= this.simulation.clock.now) times.shift();
    return times[0] ?? Infinity;
  }
}
