import { Random } from '../../src/base/random.ts';
import { newWorkload } from './arrivals.ts';
import { SimulatedClock } from './simulatedClock.ts';
import { DRAFT_RETRY_MS, RUN_MS } from './constants.ts';
import { SimulatedEngine } from './simulatedEngine.ts';
import { RunMeasurement, type RunResult } from './measure.ts';
import type { Fault, SimulatedRequest, RunParameters, Scenario } from './types.ts';
import { SimulatedWeightStore } from './simulatedWeightStore.ts';

/** What is measured: it gets arrivals and faults, and drives the engines of the simulation. */
export interface Policy {
  start(): void;
  arrive(job: SimulatedRequest): void;
  setPartitionedZone?(zone: string | undefined): void;
}

type FaultTable = {
  [T in Fault['type']]: (
    simulation: Simulation,
    policy: Policy,
    fault: Extract<Fault, { type: T }>,
  ) => void;
};

const faults: FaultTable = {
  restartEngine: ({ clock, engines }, _policy, { at, engine, downMs }) => {
    clock.at(at, () => engines[engine]?.restart(downMs));
  },
  failLoads: ({ clock, store }, _policy, { from, until, fraction }) => {
    clock.at(from, () => (store.failFraction = fraction));
    clock.at(until, () => (store.failFraction = 0));
  },
  slowStore: ({ clock, store }, _policy, { from, until, factor }) => {
    clock.at(from, () => (store.slowFactor = factor));
    clock.at(until, () => (store.slowFactor = 1));
  },
  cutZone: (simulation, policy, { from, until, zone }) => {
    const setCut = (cut: string | undefined) => () => {
      simulation.partitionedZone = cut;
      policy.setPartitionedZone?.(cut);
    };
    simulation.clock.at(from, setCut(zone));
    simulation.clock.at(until, setCut(undefined));
  },
};

/** Clock, engines, weight store and workload of one run. */
export class Simulation {
  readonly clock = SimulatedClock.create();
  readonly measure = RunMeasurement.create();
  readonly store: SimulatedWeightStore;
  readonly engines: SimulatedEngine[];
  readonly jobs: SimulatedRequest[];
  partitionedZone: string | undefined;

  private constructor(
    readonly scenario: Scenario,
    readonly parameters: RunParameters,
  ) {
    const { deployment } = scenario;
    const random = Random.create(parameters.seed + 1_000_003);
    this.store = SimulatedWeightStore.create(this.clock, random, deployment.loadsPerS);
    this.jobs = newWorkload(scenario, parameters.zipf ?? scenario.zipf, parameters.seed);
    this.engines = deployment.engines.map(({ id, zone }) =>
      SimulatedEngine.create({
        id,
        zone,
        slots: parameters.slots,
        clock: this.clock,
        store: this.store,
        measure: this.measure,
      }),
    );
  }

  static create(scenario: Scenario, parameters: RunParameters): Simulation {
    return new Simulation(scenario, parameters);
  }

  /** Whether `host` and `engine` (or two hosts) can exchange messages. */
  isConnected(zoneA: string, zoneB: string): boolean {
    return zoneA === zoneB || (zoneA !== this.partitionedZone && zoneB !== this.partitionedZone);
  }

  run(policy: Policy): RunResult {
    policy.start();
    for (const fault of this.scenario.faults) {
      const handler = faults[fault.type] as (s: Simulation, p: Policy, f: Fault) => void;
      handler(this, policy, fault);
    }
    for (const job of this.jobs) {
      this.clock.at(job.arrivesAt, () => {
        this.measure.changeWaiting(this.clock.now, 1);
        policy.arrive(job);
      });
    }
    this.clock.runUntil(RUN_MS);
    return this.measure.getResult(this.jobs, this.store.started, RUN_MS);
  }

  complete(job: SimulatedRequest): void {
    job.endedAt = this.clock.now;
  }

  /** Ends a job without an answer; a draft is submitted again, as the drafts module does. */
  fail(job: SimulatedRequest, again: () => void): void {
    if (job.kind === 'draft') {
      this.clock.after(DRAFT_RETRY_MS, again);
      return;
    }
    if (job.startedAt === undefined) this.measure.changeWaiting(this.clock.now, -1);
    job.endedAt = this.clock.now;
    job.isFailed = true;
  }
}
