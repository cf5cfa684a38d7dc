import { z } from 'zod';
import type { EndpointLimit } from '../limits/types.ts';
import type { Brittleness, EndpointPause } from '../notices/types.ts';

/** An adapter that is loaded on an engine. */
export const LoadedAdapter = z.object({
  /** `model/adapter` */
  adapter: z.string(),
  /** Undefined if the engine does not report it. */
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
  /** Number of requests that it processes concurrently. */
  slots: z.int().min(1),
  isLeaving: z.boolean(),
  /** Time until a leaving endpoint stops, in ms; absent if it is unknown. */
  remainingMs: z.number().optional(),
  /** Unix ms of its start; 0 if it is unknown. */
  startedAt: z.number(),
  /** Grows with each registration since the start. */
  sequence: z.number(),
  /** Version of the endpoint's software; empty if it names none, absent if it is unknown. */
  softwareVersion: z.string().max(200).optional(),
  /** Base models loaded on the engine. */
  models: z.array(z.string()),
  adapters: z.array(LoadedAdapter),
});
export type Endpoint = z.infer<typeof Endpoint>;

/** State of one endpoint as this host sees it. */
export interface EndpointView {
  endpoint: Endpoint;
  /** Whether its directory entry was removed; the endpoint may still serve running requests. */
  isRemoved: boolean;
  /** In-flight attempts of this host. */
  inFlight: number;
  /** Consecutive unanswered attempts. */
  consecutiveFailures: number;
  /** Monotonic ms until which other endpoints are preferred after unanswered attempts. */
  backoffUntil: number;
  /** Exponentially weighted mean time to a complete answer, in ms; 0 before the first answer. */
  meanAnswerMs: number;
  /** Exponentially weighted share of attempts that failed. */
  failureRate: number;
  /** Limit on requests that the endpoint has named since its start; undefined if it named none. */
  limit: EndpointLimit | undefined;
  /** Whether an answer or another host told that it leaves; the directory's word is in `endpoint`. */
  isToldLeaving: boolean;
  /** Present while it says that it stops if it has to turn away many requests. */
  brittleness: Brittleness | undefined;
  /** The last time for which it wanted no requests of this host; undefined if there was none. */
  pause: EndpointPause | undefined;
  /** Monotonic ms of the last log line about a malformed notice of it. */
  malformedLoggedAt: number;
}

/** Endpoints by id. */
export class Fleet {
  readonly views = new Map<string, EndpointView>();

  private constructor() {}

  static create(): Fleet {
    return new Fleet();
  }
}
