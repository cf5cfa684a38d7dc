import { BATCH } from './constants.ts';
import type { SimulatedEngine } from './simulatedEngine.ts';
import type { Policy, Simulation } from './simulation.ts';
import type { SimulatedRequest } from './types.ts';

const URGENCY = { urgent: 0, ordinary: 1, draft: 2 } as const;

/** Load tokens that are reserved for urgent requests. */
const URGENT_RESERVE_LOADS = 2;

/**
 * Clairvoyant reference: one central queue without latency that knows all arrivals. It loads on demand,
 * for urgent requests first and then for the adapter with the most waiting requests, and evicts the idle
 * adapter whose next arrival is latest.
 */
export class ClairvoyantBound implements Policy {
  /** Waiting requests by model. */
  private waiting = new Map<string, SimulatedRequest[]>();
  /** Times of future arrivals by model. */
  private readonly arrivals = new Map<string, number[]>();
  private readonly unloading = new Map<SimulatedEngine, string>();
  private isScheduled = false;

  private constructor(private readonly simulation: Simulation) {}

  static create(simulation: Simulation): ClairvoyantBound {
    return new ClairvoyantBound(simulation);
  }

  start(): void {
    for (const request of this.simulation.requests) {
      const times = this.arrivals.get(request.model) ?? [];
      times.push(request.arrivesAt);
      this.arrivals.set(request.model, times);
    }
  }

  arrive(request: SimulatedRequest): void {
    const requests = this.waiting.get(request.model) ?? [];
    requests.push(request);
    this.waiting.set(request.model, requests);
    if (request.kind !== 'draft') {
      this.simulation.clock.at(request.deadlineAt, () => {
        if (this.remove(request)) this.simulation.fail(request, () => undefined);
      });
    }
    this.serve();
  }

  private remove(request: SimulatedRequest): boolean {
    const requests = this.waiting.get(request.model);
    const index = requests?.indexOf(request) ?? -1;
    if (requests === undefined || index < 0) return false;
    requests.splice(index, 1);
    if (requests.length === 0) this.waiting.delete(request.model);
    return true;
  }

  private serve(): void {
    const { engines } = this.simulation;
    for (const [model, requests] of [...this.waiting]) {
      const holders = engines.filter((engine) => engine.residents.has(model));
      for (const request of requests.sort((a, b) => URGENCY[a.kind] - URGENCY[b.kind]).slice()) {
        const engine = holders
          .filter((holder) => holder.requestCount < BATCH && this.unloading.get(holder) !== model)
          .sort((a, b) => a.requestCount - b.requestCount)[0];
        if (engine === undefined) break;
        this.remove(request);
        this.submit(engine, request);
      }
    }
    this.startLoads();
  }

  private submit(engine: SimulatedEngine, request: SimulatedRequest): void {
    engine.submit(request, (end) => {
      if (end === 'completed') {
        this.simulation.complete(request);
        this.serve();
      } else {
        this.simulation.clock.after(1, () => this.arrive(request));
      }
    });
  }

  private startLoads(): void {
    const { engines, store } = this.simulation;
    for (;;) {
      const candidate = this.getLoadCandidate();
      if (candidate === undefined) return;
      // Other requests leave the reserved load tokens to urgent ones.
      const delayMs = store.getStartDelayMs(candidate.urgency === 0 ? 1 : 1 + URGENT_RESERVE_LOADS);
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
          !engine.residents.has(candidate.model),
      );
      const target = free.sort((a, b) => a.requestCount - b.requestCount)[0];
      if (target === undefined) {
        this.evict(candidate.model);
        return;
      }
      target.loadAdapter(candidate.model, () => this.serve());
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

  /** Returns the most urgent adapter to load: not loading, and not resident or with 8 waiting requests. */
  private getLoadCandidate(): { model: string; urgency: number } | undefined {
    const { engines } = this.simulation;
    let best: { model: string; rank: [number, number] } | undefined;
    for (const [model, requests] of this.waiting) {
      const isLoading = engines.some((engine) => engine.pending.has(model));
      const isResident = engines.some((engine) => engine.residents.has(model));
      if (isLoading || (isResident && requests.length < 8)) continue;
      const urgency = Math.min(...requests.map((request) => URGENCY[request.kind]));
      const rank: [number, number] = [urgency, -requests.length];
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

  private evict(candidate: string): void {
    if (this.unloading.size > 0) return;
    let best: { engine: SimulatedEngine; model: string; nextArrivalAt: number } | undefined;
    for (const engine of this.simulation.engines) {
      if (engine.isDown || this.unloading.has(engine) || engine.pending.size > 0) continue;
      for (const model of engine.residents.keys()) {
        if (model === candidate || this.waiting.has(model) || engine.hasRunning(model)) continue;
        const nextArrivalAt = this.getNextArrival(model);
        if (best === undefined || nextArrivalAt > best.nextArrivalAt)
          best = { engine, model, nextArrivalAt };
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
