import { z } from 'zod';
import { Name } from '../configuration/types.ts';
import type { HolderList } from './holderList.ts';

/** Load report of an engine as the engine publishes it, with a lag. */
export const EngineReport = z.object({
  /** Changes with each start of the engine. */
  bootId: z.string(),
  /** Number of requests in the running batch, by resident `adapter@version`. */
  running: z.record(z.string(), z.int().min(0)),
  waiting: z.int().min(0),
  slots: z.int().min(1),
  /** Resident `adapter@version`. */
  residents: z.array(z.string()),
});
export type EngineReport = z.infer<typeof EngineReport>;

export const EngineState = z.enum(['unknown', 'live', 'leaving', 'unreachable']);
export type EngineState = z.infer<typeof EngineState>;

const Model = z.string().min(1).max(128);

/** What the owner of an engine tells of it; `added` holds all residents when `isFull`. */
export const EngineDelta = z.object({
  engine: Name,
  epoch: z.int().min(0),
  /** Grows by one with each delta of one owner and epoch. */
  sequence: z.int().min(0),
  isFull: z.boolean(),
  state: EngineState,
  added: z.array(Model),
  removed: z.array(Model),
  /** Requests with a grant, and asks that wait for one. */
  running: z.int().min(0),
  waiting: z.int().min(0),
});
export type EngineDelta = z.infer<typeof EngineDelta>;

export const EnginesChanged = z.object({
  type: z.literal('enginesChanged'),
  engines: z.array(EngineDelta),
});
export type EnginesChanged = z.infer<typeof EnginesChanged>;

/** Asks the owner for the whole view of engines after a missed delta. */
export const EngineViewsAsked = z.object({
  type: z.literal('engineViewsAsked'),
  engines: z.array(Name),
});
export type EngineViewsAsked = z.infer<typeof EngineViewsAsked>;

/** What this host knows of an engine, from its owner or, as the owner, from the engine itself. */
export class EngineView {
  state: EngineState = 'unknown';
  bootId = '';
  /** Monotonic ms of the last report; -Infinity when there is none. */
  reportedAt = -Infinity;
  readonly residents = new Set<string>();
  /** Requests running at the time of the report. */
  running = 0;
  waiting = 0;
  /** Asks that this host sent since the report and that have not ended. */
  sentSince = 0;
  /** Sequence number of the owner's last delta. */
  sequence = 0;
  /** Highest ownership epoch seen for the engine. */
  epoch = 0;

  private constructor(readonly id: string) {}

  static create(id: string): EngineView {
    return new EngineView(id);
  }
}

/** What the last announcement of an owned engine said. */
export interface Announced {
  epoch: number;
  sequence: number;
  residents: Set<string>;
  load: number;
  state: EngineState;
  at: number;
}

/** Views of all engines, with an index from `adapter@version` to the engines that hold it. */
export class Engines {
  readonly views = new Map<string, EngineView>();
  readonly holders = new Map<string, HolderList>();
  /** Owned engines that the next announcement tells of. */
  readonly changed = new Set<string>();
  /** What this host last announced of each owned engine. */
  readonly announced = new Map<string, Announced>();
  isAnnouncing = false;

  private constructor() {}

  static create(): Engines {
    return new Engines();
  }
}

export type EngineEvent =
  | { type: 'engineReported'; engine: string; report: EngineReport }
  /** The engine did not answer; `refused` when a fresh connection was refused. */
  | { type: 'engineSilent'; engine: string; refused: boolean };

export interface EngineEffect {
  type: 'readEngine';
  engine: string;
  address: string;
}

export type EngineTimer =
  | { type: 'pollEngine'; engine: string }
  /** Sends what changed to the linked hosts. */
  | { type: 'announceEngines' };
