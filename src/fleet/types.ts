import { z } from 'zod';

/** An adapter on an engine. */
export const LoadedAdapter = z.object({
  /** `model/adapter` */
  adapter: z.string(),
  /** Undefined when the engine did not tell it. */
  version: z.int().min(0).optional(),
});
export type LoadedAdapter = z.infer<typeof LoadedAdapter>;

/** An endpoint as it registered itself. */
export const Endpoint = z.object({
  id: z.string().min(1),
  service: z.string().min(1),
  /** `IP:PORT` */
  address: z.string().min(1),
  zone: z.string(),
  /** Requests that it processes at once. */
  slots: z.int().min(1),
  isLeaving: z.boolean(),
  /** Time until a leaving endpoint is gone, in ms; absent when it is not known. */
  remainingMs: z.number().optional(),
  /** Unix ms of its start; 0 when it is not known. */
  startedAt: z.number(),
  /** Grows with each registration of one start. */
  sequence: z.number(),
  /** Base models that it holds. */
  models: z.array(z.string()),
  adapters: z.array(LoadedAdapter),
});
export type Endpoint = z.infer<typeof Endpoint>;

/** What this host knows of one endpoint. */
export interface EndpointView {
  endpoint: Endpoint;
  /** Whether its entry was removed; it may go on serving what it runs. */
  isRemoved: boolean;
  /** Attempts of this host in flight there. */
  inFlight: number;
  /** Failed attempts in a row. */
  consecutiveFailures: number;
  /** Monotonic ms until which it is passed over after failures. */
  backoffUntil: number;
  /** Decayed mean of the answer time of plain requests, in ms; 0 before the first one. */
  meanAnswerMs: number;
  /** Decayed share of attempts that failed. */
  failureRate: number;
}

/** Endpoints by id. */
export class Fleet {
  readonly views = new Map<string, EndpointView>();

  private constructor() {}

  static create(): Fleet {
    return new Fleet();
  }
}
