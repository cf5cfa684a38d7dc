import { z } from 'zod';

/** Whether requests may be retried: `safe` always, `unsafe` never, `stream` only if resumable. */
export const RouteKind = z.enum(['safe', 'unsafe', 'stream']);
export type RouteKind = z.infer<typeof RouteKind>;

/** Maps the requests of one host and path prefix to services. */
export const Route = z.object({
  name: z.string(),
  /** `Host` header without a port; its case is ignored. */
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: RouteKind,
  /** Longest time that a caller waits for an answer, in ms. */
  timeoutMs: z.number().positive(),
  /** Latency goal of an answer, or of the first event of a stream, in ms. */
  goalMs: z.number().positive(),
  /** Goal for the longest pause between two events of a stream, in ms; 0 if none is set. */
  pauseGoalMs: z.number().min(0),
  /** 0 is the most urgent. */
  priority: z.int().min(0),
  /** Most endpoints that one request may run on. */
  attempts: z.int().min(1),
  isResumable: z.boolean(),
  /** Whether requests need no key; hosts of earlier versions omit it. */
  isPublic: z.boolean().optional(),
  targets: z.array(z.object({ service: z.string(), weight: z.number().min(0) })).min(1),
});
export type Route = z.infer<typeof Route>;

/** A base model that the engines of a service run. */
export const BaseModel = z.object({
  name: z.string(),
  weightsMb: z.number().min(0),
  adapterMb: z.number().min(0),
  /** Load time from the weight store with few concurrent loads, in ms; 0 if it is unknown. */
  loadMs: z.number().min(0),
});
export type BaseModel = z.infer<typeof BaseModel>;

/** Properties shared by all engines of a model service. */
export const EngineClass = z.object({
  /** Most requests that one engine runs concurrently. */
  batch: z.int().min(1),
  /** Tokens that fit into the memory of an engine. */
  memoryTokens: z.number().positive(),
  adapterSlots: z.int().min(0),
  /** Memory for the weights of base models and adapters, in MB. */
  weightsMb: z.number().min(0),
  models: z.array(BaseModel),
  /** Base model loads per second that the weight store allows for all engines together. */
  loadsPerS: z.number().positive(),
});
export type EngineClass = z.infer<typeof EngineClass>;

/** A group of endpoints that answer the same requests. */
export const Service = z.object({
  name: z.string(),
  /** Most connections that one endpoint accepts from all callers together. */
  connectionLimit: z.int().min(1),
  /** Path of the health check; hosts of earlier versions omit it. */
  healthPath: z.string().optional(),
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

/** What the limit of a tenant counts: requests, or the tokens of their prompts and answers. */
export const QuotaUnit = z.enum(['request', 'token']);
export type QuotaUnit = z.infer<typeof QuotaUnit>;

/** A group of callers with keys of its own. */
export const Tenant = z.object({
  name: z.string().min(1),
  /** SHA-256 digests of its keys, in base64. */
  keyDigests: z.array(z.string().min(1)),
  /** 0 is the most urgent; goes before the priority of a route. */
  priority: z.int().min(0).optional(),
  unit: QuotaUnit,
  /** Units that a request counts which does not name its tokens. */
  defaultTokens: z.number().min(0),
  /** Units per second over all hosts, and units beyond them in one burst; a rate of 0 is no limit. */
  ratePerS: z.number().min(0),
  burst: z.number().min(0),
});
export type Tenant = z.infer<typeof Tenant>;

/** Routes and services that an operator confirmed. Versions increase, but not always by 1. */
export const RoutingTable = z.object({
  version: z.int().min(0),
  routes: z.array(Route),
  services: z.array(Service),
  limits: CallerLimits,
  /**
   * Callers that are known by keys; null if the deployment has none. Hosts of earlier versions omit it, as
   * they do not know whether there are any.
   */
  tenants: z.array(Tenant).nullable().optional(),
});
export type RoutingTable = z.infer<typeof RoutingTable>;

/** The active routing table with its look-up indexes. */
export interface RouteIndex {
  table: RoutingTable;
  /** Routes by lower-case host, the longest prefix first. */
  routesByHost: Map<string, Route[]>;
  services: Map<string, Service>;
  tenants: Map<string, Tenant>;
  /** Tenants by the digests of their keys; undefined if requests need no keys. */
  tenantsByKey: Map<string, Tenant> | undefined;
}
