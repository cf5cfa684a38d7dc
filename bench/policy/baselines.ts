import { getRendezvousOrder } from '../../src/base/hash.ts';
import { Random } from '../../src/base/random.ts';
import type { SimulatedEngine } from './simulatedEngine.ts';
import type { Policy, Simulation } from './simulation.ts';
import type { SimulatedRequest } from './types.ts';

type EngineSelector = (
  engines: SimulatedEngine[],
  job: SimulatedRequest,
  random: Random,
) => SimulatedEngine | undefined;

interface EngineQueue {
  waiting: SimulatedRequest[];
  /** Requests sent to the engine that have not ended. */
  outstanding: number;
  usedAt: Map<string, number>;
  hasOrderInFlight: boolean;
}

/**
 * The usual arrangement: a balancer picks an engine, and a sidecar of the engine loads what its next
 * waiting request needs and evicts the least recently used adapter that no request uses. All engines
 * share one exact view of the weight store's rate, which real sidecars do not have.
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

  static create(simulation: Simulation, choose: EngineSelector): Baseline {
    return new Baseline(simulation, choose);
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

  arrive(job: SimulatedRequest): void {
    const { engines, clock } = this.simulation;
    const zone = this.simulation.scenario.deployment.hosts[job.host]?.zone ?? '';
    const usable = engines.filter(
      (engine) => !engine.isDown && this.simulation.isConnected(zone, engine.zone),
    );
    const order = this.selectEngine(usable, job, this.random);
    const queue = order === undefined ? undefined : this.queues.get(order);
    if (order === undefined || queue === undefined) {
      this.simulation.fail(job, () => this.arrive(job));
      return;
    }
    queue.outstanding += 1;
    queue.waiting.push(job);
    if (job.kind !== 'draft') {
      clock.at(job.deadlineAt, () => {
        if (!queue.waiting.includes(job)) return;
        queue.waiting = queue.waiting.filter((other) => other !== job);
        queue.outstanding -= 1;
        this.simulation.fail(job, () => undefined);
      });
    }
    this.serve(order, queue);
  }

  getOutstanding(engine: SimulatedEngine): number {
    return this.queues.get(engine)?.outstanding ?? 0;
  }

  private serve(engine: SimulatedEngine, queue: EngineQueue): void {
    const ready = queue.waiting.filter((job) => engine.residents.has(job.model));
    queue.waiting = queue.waiting.filter((job) => !engine.residents.has(job.model));
    for (const job of ready) {
      queue.usedAt.set(job.model, this.simulation.clock.now);
      engine.submit(job, (end) => {
        queue.outstanding -= 1;
        queue.usedAt.set(job.model, this.simulation.clock.now);
        if (end === 'completed') this.simulation.complete(job);
        else this.retryLater(job);
        this.serve(engine, queue);
      });
    }
    this.orderNext(engine, queue);
  }

  private retryLater(job: SimulatedRequest): void {
    this.simulation.clock.after(10, () => this.arrive(job));
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
    // With every adapter in use, the end of a request serves the queue again.
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

/** Baselines of design section 8; each evicts the least recently used adapter. */
export const BASELINES: Record<string, (simulation: Simulation) => Policy> = {
  random: (simulation) =>
    Baseline.create(
      simulation,
      (engines, _job, random) => engines[random.getInteger(Math.max(1, engines.length))],
    ),
  leastOutstanding: (simulation) => {
    const baseline: Baseline = Baseline.create(simulation, (engines) =>
      getMinBy(engines, (engine) => baseline.getOutstanding(engine)),
    );
    return baseline;
  },
  rendezvous: (simulation) =>
    Baseline.create(simulation, (engines, job) => {
      const ids = engines.map(({ id }) => id);
      const first = getRendezvousOrder(job.model, ids)[0];
      return engines.find(({ id }) => id === first);
    }),
};
