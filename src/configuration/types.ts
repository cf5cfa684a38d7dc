import { z } from 'zod';

/** Name of an entry of the configuration or id of a plan. */
export const Name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'lower-case letters, digits, ".", "_" and "-", at most 63');

/** A LoRA adapter of a firm, with its versions. */
export const Adapter = z.strictObject({
  name: Name,
  firm: Name,
  /** Base model of the adapter. */
  model: Name,
  /** Versions by name; `source` is the URL that engines load the weights from. */
  versions: z.record(Name, z.strictObject({ source: z.string().min(1) })),
  /** Version used for requests that name no version. */
  inForce: Name,
});
export type Adapter = z.infer<typeof Adapter>;

/** A model engine that serves adapters of one base model. */
export const Engine = z.strictObject({
  id: Name,
  /** `host:port`, with an IP address as the host. */
  address: z.string().min(3),
  zone: Name,
  /** Pool of engines that serve the same model. */
  pool: Name,
  model: Name,
  /** Maximum number of resident adapters. */
  slots: z.int().min(1).max(1024),
  /** Maximum number of requests in one batch. */
  batch: z.int().min(1).max(4096),
  /** Whether the engine rejects orders with an outdated fencing number. */
  checksFencing: z.boolean(),
});
export type Engine = z.infer<typeof Engine>;

/** Calls of a service that may be retried. */
export const RepeatableCall = z.strictObject({
  method: z.string().regex(/^[A-Z]+$/),
  /** Path below the service; a trailing `*` matches any suffix. */
  path: z.string().startsWith('/'),
});

/** A service that hosts call on behalf of callers. */
export const ConfiguredService = z.strictObject({
  name: Name,
  endpoints: z.array(z.strictObject({ id: Name, address: z.string().min(3), zone: Name })),
  /** Calls that may be retried; all others run at most once. */
  repeatable: z.array(RepeatableCall),
});
export type ConfiguredService = z.infer<typeof ConfiguredService>;

/** Number of copies of an adapter to keep resident in a pool. */
export const WarmIntent = z.strictObject({
  adapter: Name,
  pool: Name,
  /** Copies in each zone of the pool. */
  copies: z.int().min(0).max(64),
  /** Daily window in minutes of the UTC day, [from, until); always if absent. */
  window: z
    .strictObject({ fromMinute: z.int().min(0).max(1440), untilMinute: z.int().min(0).max(1440) })
    .optional(),
});
export type WarmIntent = z.infer<typeof WarmIntent>;

/** Phases of inference that an engine serves. */
export const EngineRole = z.enum(['mixed', 'prefill', 'decode']);
export type EngineRole = z.infer<typeof EngineRole>;

/** One change of the configuration; a revision is a list of changes. */
export const Change = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('putAdapter'), adapter: Adapter }),
  z.strictObject({ type: z.literal('removeAdapter'), name: Name }),
  z.strictObject({ type: z.literal('putEngine'), engine: Engine }),
  z.strictObject({ type: z.literal('removeEngine'), id: Name }),
  z.strictObject({ type: z.literal('putService'), service: ConfiguredService }),
  z.strictObject({ type: z.literal('removeService'), name: Name }),
  z.strictObject({ type: z.literal('putWarm'), warm: WarmIntent }),
  z.strictObject({ type: z.literal('removeWarm'), adapter: Name, pool: Name }),
  /** Priority of a caller, 0 to 9, lower first; 5 is the default. */
  z.strictObject({
    type: z.literal('putCallerOrder'),
    caller: Name,
    priority: z.int().min(0).max(9),
  }),
  z.strictObject({ type: z.literal('removeCallerOrder'), caller: Name }),
  /** Guaranteed share of a firm, 0 to 1. */
  z.strictObject({ type: z.literal('putShare'), firm: Name, share: z.number().min(0).max(1) }),
  z.strictObject({ type: z.literal('removeShare'), firm: Name }),
  z.strictObject({ type: z.literal('putLeaving'), endpoint: Name }),
  z.strictObject({ type: z.literal('removeLeaving'), endpoint: Name }),
  z.strictObject({ type: z.literal('putRole'), engine: Name, role: EngineRole }),
  z.strictObject({ type: z.literal('removeRole'), engine: Name }),
]);
export type Change = z.infer<typeof Change>;

/** One accepted revision of the configuration. */
export const Revision = z.strictObject({
  revision: z.int().min(1),
  changes: z.array(Change),
  /** Operator who confirmed the revision, Unix ms of the confirmation, and its plan. */
  operator: z.string(),
  confirmedAtUnixMs: z.int(),
  plan: z.string(),
});
export type Revision = z.infer<typeof Revision>;

/** The configuration in force: the result of all revisions up to `revision`. */
export class Configuration {
  /** 0 until a first revision is known. */
  revision = 0;
  readonly adapters = new Map<string, Adapter>();
  readonly engines = new Map<string, Engine>();
  readonly services = new Map<string, ConfiguredService>();
  /** Keys have the form `adapter/pool`. */
  readonly warmIntents = new Map<string, WarmIntent>();
  readonly callerPriorities = new Map<string, number>();
  readonly shares = new Map<string, number>();
  readonly leavingEndpoints = new Set<string>();
  readonly engineRoles = new Map<string, EngineRole>();

  private constructor() {}

  static create(): Configuration {
    return new Configuration();
  }
}
