import type { RequestKind } from '../../src/requests/types.ts';

/** One request of the workload, and what became of it. All times in simulated ms. */
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
  /** Index of the entry host that receives it. */
  readonly host: number;
  startedAt: number | undefined;
  endedAt: number | undefined;
  isFailed: boolean;
  /** Time that it waited for its adapter to be loaded. */
  stallMs: number;
  /** Time that its last attempt occupied a place of a batch. */
  batchSlotMs: number;
}

export interface EngineLayout {
  readonly id: string;
  readonly zone: string;
}

export interface HostLayout {
  readonly id: string;
  readonly zone: string;
}

/** Sizes and distances of a deployment. */
export interface Deployment {
  readonly name: 'atlas' | 'corail';
  readonly zones: readonly string[];
  readonly engines: readonly EngineLayout[];
  readonly hosts: readonly HostLayout[];
  /** Loads a second that the weight store starts. */
  readonly loadsPerS: number;
  readonly zoneLatencyMs: number;
  readonly stallWeight: number;
  readonly shares: Readonly<Record<string, number>>;
}

/** One kind of request of one firm; `ratePerS` is evaluated at the simulated time in ms. */
export interface RequestStream {
  readonly firm: string;
  readonly kind: RequestKind;
  readonly ratePerS: (at: number) => number;
}

export type Fault =
  | { type: 'restartEngine'; at: number; engine: number; downMs: number }
  | { type: 'failLoads'; from: number; until: number; fraction: number }
  | { type: 'slowStore'; from: number; until: number; factor: number }
  | { type: 'cutZone'; from: number; until: number; zone: string };

export interface Scenario {
  readonly name: string;
  readonly deployment: Deployment;
  readonly zipf: number;
  readonly streams: readonly RequestStream[];
  /** Times at which the popularity ranks are drawn anew, with the share of ranks that move. */
  readonly shifts: readonly { at: number; fraction: number }[];
  readonly faults: readonly Fault[];
}

export interface RunParameters {
  readonly seed: number;
  readonly slots: number;
  readonly zipf: number | undefined;
  readonly stallWeight: number | undefined;
}
