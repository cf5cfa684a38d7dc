import { Random } from '../../src/base/random.ts';
import { newWorkload } from './arrivals.ts';
import { SimulatedClock } from './simulatedClock.ts';
import { DRAFT_RETRY_MS, RUN_MS } from './constants.ts';
import { SimulatedEngine } from './simulatedEngine.ts';
import { RunMeasurement, type RunResult } from './measure.ts';
import type { Fault, SimulatedRequest, RunParameters, Scenario } from './types.ts';
import { SimulatedWeightStore } from './simulatedWeightStore.ts';

/** Measured system: receives arrivals and faults, and controls the engines of the simulation. */
export interface Policy {
  start(): void;
  arrive(request: SimulatedRequest): void;
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
  partitionZone: (simulation, policy, { from, until, zone }) => {
    const newPartitionCall = (partitionedZone: string | undefined) => () => {
      simulation.partitionedZone = partitionedZone;
      policy.setPartitionedZone?.(partitionedZone);
    };
    simulation.clock.at(from, newPartitionCall(zone));
    simulation.clock.at(until, newPartitionCall(undefined));
  },
};

/** One run: its clock, engines, weight store and requests. */
export class Simulation {
  readonly clock = SimulatedClock.create();
  readonly measure = RunMeasurement.create();
  readonly store: SimulatedWeightStore;
  readonly engines: SimulatedEngine[];
  readonly requests: SimulatedRequest[];
  /** Zone without connection to the others; undefined without a partition. */
  partitionedZone: string | undefined;

  private constructor(
    readonly scenario: Scenario,
    readonly parameters: RunParameters,
  ) {
    const { deployment } = scenario;
    const random = Random.create(parameters.seed + 1_000_003);
    this.store = SimulatedWeightStore.create(this.clock, random, deployment.loadsPerS);
    this.requests = newWorkload(scenario, parameters.zipf ?? scenario.zipf, parameters.seed);
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

  /** Whether hosts and engines of the two zones can exchange messages. */
  isConnected(zoneA: string, zoneB: string): boolean {
    return zoneA === zoneB || (zoneA !== this.partitionedZone && zoneB !== this.partitionedZone);
  }

  run(policy: Policy): RunResult {
    policy.start();
    for (const fault of this.scenario.faults) {
      const handler = faults[fault.type] as (s: Simulation, p: Policy, f: Fault) => void;
      handler(this, policy, fault);
    }
    for (const request of this.requests) {
      this.clock.at(request.arrivesAt, () => {
        this.measure.changeWaiting(this.clock.now, 1);
        policy.arrive(request);
      });
    }
    this.clock.runUntil(RUN_MS);
    return this.measure.getResult(this.requests, this.store.started, RUN_MS);
  }

  complete(request: SimulatedRequest): void {
    request.endedAt = this.clock.now;
  }

  /** Ends a request without a response; a draft is retried, as the drafts module does. */
  fail(request: SimulatedRequest, retry: () => void): void {
    if (request.kind === 'draft') {
      this.clock.after(DRAFT_RETRY_MS, retry);
      return;
    }
    if (request.startedAt === undefined) this.measure.changeWaiting(this.clock.now, -1);
    request.endedAt = this.clock.now;
    request.isFailed = true;
  }
}
