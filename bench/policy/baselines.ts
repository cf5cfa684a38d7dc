import { getRendezvousOrder } from '../../src/base/hash.ts';
import { Random } from '../../src/base/random.ts';
import type { EngineFake } from './engineFake.ts';
import type { Policy, Simulation } from './simulation.ts';
import type { Job } from './types.ts';

type Choice = (engines: EngineFake[], job: Job, random: Random) => EngineFake | undefined;

interface EngineQueue {
  waiting: Job[];
  /** Requests sent to the engine that have not ended. */
  outstanding: number;
  usedAt: Map<string, number>;
  isBusy: boolean;
}

/**
 * The usual arrangement: a balancer picks an engine, and a sidecar of the engine loads what its next
 * waiting request needs and evicts the least recently used adapter that no request uses. All engines
 * share one exact view of the weight store's rate, which real sidecars do not have.
 */
export class Baseline implements Policy {
  private readonly queues = new Map<EngineFake, EngineQueue>();
  private readonly random: Random;

  private constructor(
    private readonly simulation: Simulation,
    private readonly choose: Choice,
  ) {
    this.random = Random.create(simulation.parameters.seed + 7);
  }

  static create(simulation: Simulation, choose: Choice): Baseline {
    return new Baseline(simulation, choose);
  }

  start(): void {
    for (const engine of this.simulation.engines) {
      this.queues.set(engine, {
        waiting: [],
        outstanding: 0,
        usedAt: new Map(),
        isBusy: false,
      });
    }
  }

  arrive(job: Job): void {
    const { engines, clock } = this.simulation;
    const zone = this.simulation.scenario.deployment.hosts[job.host]?.zone ?? '';
    const usable = engines.filter(
      (engine) => !engine.isDown && this.simulation.isConnected(zone, engine.zone),
    );
    const order = this.choose(usable, job, this.random);
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

  getOutstanding(engine: EngineFake): number {
    return this.queues.get(engine)?.outstanding ?? 0;
  }

  private serve(engine: EngineFake, queue: EngineQueue): void {
    const ready = queue.waiting.filter((job) => engine.residents.has(job.model));
    queue.waiting = queue.waiting.filter((job) => !engine.residents.has(job.model));
    for (const job of ready) {
      queue.usedAt.set(job.model, this.simulation.clock.now);
      engine.submit(job, (end) => {
        queue.outstanding -= 1;
        queue.usedAt.set(job.model, this.simulation.clock.now);
        if (end === 'completed') this.simulation.complete(job);
        else this.arriveAgain(job);
        this.serve(engine, queue);
      });
    }
    this.loadNext(engine, queue);
  }

  private arriveAgain(job: Job): void {
    this.simulation.clock.after(10, () => this.arrive(job));
  }

  private loadNext(engine: EngineFake, queue: EngineQueue): void {
    const next = queue.waiting[0];
    if (next === undefined || queue.isBusy) return;
    const retry = () => {
      queue.isBusy = false;
      this.serve(engine, queue);
    };
    if (engine.isDown) {
      queue.isBusy = true;
      this.simulation.clock.after(500, retry);
      return;
    }
    if (engine.residents.size + engine.pending.size < engine.slots) {
      queue.isBusy = true;
      engine.loadAdapter(next.model, (isDone) => {
        if (isDone) retry();
        else this.simulation.clock.after(100, retry);
      });
      return;
    }
    const victim = [...engine.residents.keys()]
      .filter((model) => !engine.hasRunning(model))
      .sort((a, b) => (queue.usedAt.get(a) ?? 0) - (queue.usedAt.get(b) ?? 0))[0];
    // With every adapter in use, the end of a request serves the queue again.
    if (victim === undefined) return;
    queue.isBusy = true;
    engine.unloadAdapter(victim, retry);
  }
}

function getLeast(engines: EngineFake[], getValue: (engine: EngineFake) => number) {
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
      getLeast(engines, (engine) => baseline.getOutstanding(engine)),
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
