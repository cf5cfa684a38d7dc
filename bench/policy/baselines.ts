import { getRendezvousOrder } from '../../src/base/hash.ts';
import { Random } from '../../src/base/random.ts';
import type { SimulatedEngine } from './simulatedEngine.ts';
import type { Policy, Simulation } from './simulation.ts';
import type { SimulatedRequest } from './types.ts';

type EngineSelector = (
  engines: SimulatedEngine[],
  request: SimulatedRequest,
  random: Random,
) => SimulatedEngine | undefined;

interface EngineQueue {
  /** Requests whose adapter is not resident. */
  waiting: SimulatedRequest[];
  /** Number of requests assigned to the engine that have not ended. */
  outstanding: number;
  /** Time of last use by model. */
  usedAt: Map<string, number>;
  hasOrderInFlight: boolean;
}

/**
 * Usual deployment: a load balancer selects an engine. A sidecar of the engine loads the adapter of its
 * first waiting request and evicts the least recently used adapter without running requests. All
 * sidecars know the exact rate of the weight store, which real ones do not.
 */
export class Baseline implements Policy {
  private readonly queues = new Map<SimulatedEngine, EngineQueue>();
  private readonly random: Random;

  private constructor(
    private readonly simulation: Simulation,
    private readonly selectEngine: EngineSelector,
  ) {
    this.random = Random.create(simulation.parameters.seed + 7);
  }

  static create(simulation: Simulation, selectEngine: EngineSelector): Baseline {
    return new Baseline(simulation, selectEngine);
  }

  start(): void {
    for (const engine of this.simulation.engines) {
      this.queues.set(engine, {
        waiting: [],
        outstanding: 0,
        usedAt: new Map(),
        hasOrderInFlight: false,
      });
    }
  }

  arrive(request: SimulatedRequest): void {
    const { engines, clock } = this.simulation;
    const zone = this.simulation.scenario.deployment.hosts[request.host]?.zone ?? '';
    const usable = engines.filter(
      (candidate) => !candidate.isDown && this.simulation.isConnected(zone, candidate.zone),
    );
    const engine = this.selectEngine(usable, request, this.random);
    const queue = engine === undefined ? undefined : this.queues.get(engine);
    if (engine === undefined || queue === undefined) {
      this.simulation.fail(request, () => this.arrive(request));
      return;
    }
    queue.outstanding += 1;
    queue.waiting.push(request);
    if (request.kind !== 'draft') {
      clock.at(request.deadlineAt, () => {
        if (!queue.waiting.includes(request)) return;
        queue.waiting = queue.waiting.filter((other) => other !== request);
        queue.outstanding -= 1;
        this.simulation.fail(request, () => undefined);
      });
    }
    this.serve(engine, queue);
  }

  getOutstanding(engine: SimulatedEngine): number {
    return this.queues.get(engine)?.outstanding ?? 0;
  }

  private serve(engine: SimulatedEngine, queue: EngineQueue): void {
    const ready = queue.waiting.filter((request) => engine.residents.has(request.model));
    queue.waiting = queue.waiting.filter((request) => !engine.residents.has(request.model));
    for (const request of ready) {
      queue.usedAt.set(request.model, this.simulation.clock.now);
      engine.submit(request, (end) => {
        queue.outstanding -= 1;
        queue.usedAt.set(request.model, this.simulation.clock.now);
        if (end === 'completed') this.simulation.complete(request);
        else this.retryLater(request);
        this.serve(engine, queue);
      });
    }
    this.orderNext(engine, queue);
  }

  private retryLater(request: SimulatedRequest): void {
    this.simulation.clock.after(10, () => this.arrive(request));
  }

  private orderNext(engine: SimulatedEngine, queue: EngineQueue): void {
    const next = queue.waiting[0];
    if (next === undefined || queue.hasOrderInFlight) return;
    const retry = () => {
      queue.hasOrderInFlight = false;
      this.serve(engine, queue);
    };
    if (engine.isDown) {
      queue.hasOrderInFlight = true;
      this.simulation.clock.after(500, retry);
      return;
    }
    if (engine.residents.size + engine.pending.size < engine.slots) {
      queue.hasOrderInFlight = true;
      engine.loadAdapter(next.model, (isDone) => {
        if (isDone) retry();
        else this.simulation.clock.after(100, retry);
      });
      return;
    }
    const evictionCandidate = [...engine.residents.keys()]
      .filter((model) => !engine.hasRunning(model))
      .sort((a, b) => (queue.usedAt.get(a) ?? 0) - (queue.usedAt.get(b) ?? 0))[0];
    // All adapters are in use; the queue is served again when a request ends.
    if (evictionCandidate === undefined) return;
    queue.hasOrderInFlight = true;
    engine.unloadAdapter(evictionCandidate, retry);
  }
}

function getMinBy(engines: SimulatedEngine[], getValue: (engine: SimulatedEngine) => number) {
  let best = engines[0];
  for (const engine of engines) {
    if (best !== undefined && getValue(engine) < getValue(best)) best = engine;
  }
  return best;
}

/** Baselines of design section 8, by name; all evict the least recently used adapter. */
export const BASELINES: Record<string, (simulation: Simulation) => Policy> = {
  random: (simulation) =>
    Baseline.create(
      simulation,
      (engines, _request, random) => engines[random.getInteger(Math.max(1, engines.length))],
    ),
  leastOutstanding: (simulation) => {
    const baseline: Baseline = Baseline.create(simulation, (engines) =>
      getMinBy(engines, (engine) => baseline.getOutstanding(engine)),
    );
    return baseline;
  },
  rendezvous: (simulation) =>
    Baseline.create(simulation, (engines, request) => {
      const ids = engines.map(({ id }) => id);
      const first = getRendezvousOrder(request.model, ids)[0];
      return engines.find(({ id }) => id === first);
    }),
};
