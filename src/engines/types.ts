import { z } from 'zod';
import type { EndpointPause } from '../notices/types.ts';
import type { HolderList } from './holderList.ts';

/** Load report that an engine publishes; it lags behind the engine's state. */
export const EngineReport = z.object({
  /** Changes with each start of the engine. */
  bootId: z.string(),
  /** Number of requests in the running batch, by resident `adapter@version`. */
  running: z.record(z.string(), z.int().min(0)),
  waiting: z.int().min(0),
  slots: z.int().min(1),
  /** Adapters in the slots, each as `adapter@version`. */
  residents: z.array(z.string()),
});
export type EngineReport = z.infer<typeof EngineReport>;

export type EngineState = 'unknown' | 'live' | 'leaving' | 'unreachable';

/**
 * What this host knows of an engine: from the engine's owner, or from the engine itself if this host
 * owns it.
 */
export class EngineView {
  state: EngineState = 'unknown';
  bootId = '';
  /** Monotonic ms of the last report; -Infinity before the first one. */
  reportedAt = -Infinity;
  /** Adapters in the slots, each as `adapter@version`. */
  readonly residents = new Set<string>();
  /** Requests running at the time of the report. */
  running = 0;
  waiting = 0;
  /** Grant requests that this host sent since the last report and that have not ended. */
  sentSinceReport = 0;
  /** Sequence number of the owner's last delta. */
  sequence = 0;
  /** Highest ownership epoch seen for the engine. */
  epoch = 0;
  /** The last time for which it wanted no requests of this host; undefined if there was none. */
  pause: EndpointPause | undefined;

  private constructor(readonly id: string) {}

  static create(id: string): EngineView {
    return new EngineView(id);
  }
}

/** Views of all engines, with an index from `adapter@version` to the engines that hold it. */
export class Engines {
  readonly views = new Map<string, EngineView>();
  readonly holders = new Map<string, HolderList>();

  private constructor() {}

  static create(): Engines {
    return new Engines();
  }
}

export type EngineEvent =
  | { type: 'engineReported'; engine: string; report: EngineReport }
  /** The engine did not answer; `refused` when it refused a new connection. */
  | { type: 'engineUnreachable'; engine: string; refused: boolean };

/** Reads the load report of an engine. */
export interface EngineEffect {
  type: 'readEngine';
  engine: string;
  address: string;
}

/** Starts the next read of the load report of an owned engine. */
export interface EngineTimer {
  type: 'pollEngine';
  engine: string;
}
