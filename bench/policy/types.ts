import type { RequestKind } from '../../src/requests/types.ts';

/** Request of the workload and its outcome. All times are in simulated ms. */
export interface SimulatedRequest {
  readonly id: string;
  readonly firm: string;
  readonly kind: RequestKind;
  /** `adapter@version` */
  readonly model: string;
  readonly arrivesAt: number;
  readonly deadlineAt: number;
  readonly outputTokens: number;
  readonly promptTokens: number;
  /** Index of the entry host that receives the request. */
  readonly host: number;
  startedAt: number | undefined;
  endedAt: number | undefined;
  isFailed: boolean;
  /** Time that the request waited for its adapter to be loaded. */
  stallMs: number;
  /** Time that the last attempt occupied a batch slot. */
  batchSlotMs: number;
}

/** Id and availability zone of an engine. */
export interface EngineLayout {
  readonly id: string;
  readonly zone: string;
}

/** Id and availability zone of a host. */
export interface HostLayout {
  readonly id: string;
  readonly zone: string;
}

/** Hosts, engines, rates and latencies of a deployment. */
export interface Deployment {
  readonly name: 'atlas' | 'corail';
  readonly zones: readonly string[];
  readonly engines: readonly EngineLayout[];
  readonly hosts: readonly HostLayout[];
  /** Loads per second that the weight store starts. */
  readonly loadsPerS: number;
  readonly zoneLatencyMs: number;
  readonly stallWeight: number;
  readonly shares: Readonly<Record<string, number>>;
}

/** Requests of one kind from one firm; `ratePerS` takes the simulated time in ms. */
export interface RequestStream {
  readonly firm: string;
  readonly kind: RequestKind;
  readonly ratePerS: (at: number) => number;
}

/** Fault of a scenario. */
export type Fault =
  | { type: 'restartEngine'; at: number; engine: number; downMs: number }
  | { type: 'failLoads'; from: number; until: number; fraction: number }
  | { type: 'slowStore'; from: number; until: number; factor: number }
  | { type: 'partitionZone'; from: number; until: number; zone: string };

/** Workload and faults of one run in a deployment. */
export interface Scenario {
  readonly name: string;
  readonly deployment: Deployment;
  readonly zipf: number;
  readonly streams: readonly RequestStream[];
  /** Times at which adapters change their popularity rank, with the fraction of ranks that change. */
  readonly shifts: readonly { at: number; fraction: number }[];
  readonly faults: readonly Fault[];
}

/** Parameters of one run; undefined ones take the value of the scenario. */
export interface RunParameters {
  readonly seed: number;
  readonly slots: number;
  readonly zipf: number | undefined;
  readonly stallWeight: number | undefined;
}
