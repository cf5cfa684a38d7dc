import { z } from 'zod';

/** What may be repeated: `safe` any time, `unsafe` never, `stream` only when it may be resumed. */
export const RouteKind = z.enum(['safe', 'unsafe', 'stream']);
export type RouteKind = z.infer<typeof RouteKind>;

/** Sends the requests of one host and path prefix to services. */
export const Route = z.object({
  name: z.string(),
  /** `Host` header without a port, in lower case. */
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: RouteKind,
  /** Longest time that a caller is kept waiting, in ms. */
  timeoutMs: z.number().positive(),
  /** Time within which an answer is on time, in ms; up to the first event of a stream. */
  goalMs: z.number().positive(),
  /** Longest pause between events for which a stream is on time, in ms; 0 when none is set. */
  pauseGoalMs: z.number().min(0),
  /** 0 is the most urgent. */
  priority: z.int().min(0),
  /** Engines that one request may run on at most. */
  attempts: z.int().min(1),
  isResumable: z.boolean(),
  targets: z.array(z.object({ service: z.string(), weight: z.number().min(0) })).min(1),
});
export type Route = z.infer<typeof Route>;

/** A base model that engines of a service run. */
export const BaseModel = z.object({
  name: z.string(),
  weightsMb: z.number().min(0),
  adapterMb: z.number().min(0),
  /** Time of a load from the weight store while few run, in ms; 0 when it is not known. */
  loadMs: z.number().min(0),
});
export type BaseModel = z.infer<typeof BaseModel>;

/** What all engines of a model service have in common. */
export const EngineClass = z.object({
  /** Requests that run at once. */
  batch: z.int().min(1),
  /** Tokens that fit into the memory of an engine. */
  memoryTokens: z.number().positive(),
  adapterSlots: z.int().min(0),
  /** Memory for weights and adapters. */
  weightsMb: z.number().min(0),
  models: z.array(BaseModel),
  /** Loads of base models a second that the weight store allows for all engines together. */
  loadsPerS: z.number().positive(),
});
export type EngineClass = z.infer<typeof EngineClass>;

/** Endpoints that answer the same requests. */
export const Service = z.object({
  name: z.string(),
  /** Connections that one endpoint accepts from all callers together. */
  connectionLimit: z.int().min(1),
  /** Absent for plain services. */
  engine: EngineClass.optional(),
});
export type Service = z.infer<typeof Service>;

/** Limits on what callers send. */
export const CallerLimits = z.object({
  headerBytes: z.int().min(1),
  bodyBytes: z.int().min(0),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});
export type CallerLimits = z.infer<typeof CallerLimits>;

/** Routes and services as confirmed by an operator. Versions grow in uneven steps. */
export const RoutingTable = z.object({
  version: z.int().min(0),
  routes: z.array(Route),
  services: z.array(Service),
  limits: CallerLimits,
});
export type RoutingTable = z.infer<typeof RoutingTable>;

/** The routing table in force with its indexes. */
export interface RouteIndex {
  table: RoutingTable;
  /** Routes by host, the longest prefix first. */
  routesByHost: Map<string, Route[]>;
  services: Map<string, Service>;
}
