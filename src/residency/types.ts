import { z } from 'zod';
import type { DecayingCounter } from '../base/decayingCounter.ts';
import type { TokenBucket } from '../base/tokenBucket.ts';
import type { EngineSpeed } from './engineSpeed.ts';
import { Popularity } from '../grants/popularity.ts';

/** Half-life of the demand that evictions are decided by; demand shifts within seconds. */
const POPULARITY_HALF_LIFE_MS = 10_000;

const Id = z.string().min(1).max(200);

/** Asks the owner of an engine for a reservation there. */
export const ReservationRequest = z.object({
  type: z.literal('placeAsked'),
  request: Id,
  /** Number of the reservation request within the request. */
  ask: z.int().min(0),
  engine: Id,
  /** `model/adapter`; empty for the base model alone. */
  adapter: z.string(),
  /** Newest version that the requesting host knows; 0 if none was announced. */
  version: z.int().min(0),
  /** Software version that the engine must run; absent for any. */
  softwareVersion: z.string().optional(),
  promptTokens: z.number().min(0),
  outputTokens: z.number().min(0),
  /** Time until the request's deadline, and until its first event is late, in ms. */
  remainingMs: z.number(),
  goalMs: z.number(),
  /** Rank of the route, 0 is the most urgent; hosts of earlier versions omit it. */
  priority: z.number().optional(),
  /**
   * Longest time to wait for a permit of an endpoint that limits its requests, in ms; hosts of earlier
   * versions omit it.
   */
  maxWaitMs: z.number().optional(),
  /** Tenant of the caller; absent without tenants. */
  tenant: z.string().optional(),
  /** Whether the owner may grant a reservation on another engine that it owns; not on the `excluded` ones. */
  canMove: z.boolean().optional(),
  excluded: z.array(Id).optional(),
});
export type ReservationRequest = z.infer<typeof ReservationRequest>;

export const ReservationGranted = z.object({
  type: z.literal('placeGiven'),
  request: Id,
  ask: z.int().min(0),
  engine: Id,
  /** Version of the adapter on the engine; absent if it is unknown. */
  version: z.int().min(0).optional(),
  /** Unix ms of the start of the engine for which the reservation holds; hosts of earlier versions omit it. */
  startedAt: z.number().optional(),
  /** Time between arrival at the owner and the grant, in ms. */
  stallMs: z.number(),
});
export type ReservationGranted = z.infer<typeof ReservationGranted>;

/** Acknowledges that a reservation request waits in the owner's queue. */
export const ReservationQueued = z.object({
  type: z.literal('placeQueued'),
  request: Id,
  ask: z.int().min(0),
});

export const ReservationRefusalReason = z.enum([
  'notOwner',
  'leaving',
  'replacing',
  'otherSoftware',
  /** The endpoint limits its requests, and the wait for a permit would be too long. */
  'limited',
]);
export type ReservationRefusalReason = z.infer<typeof ReservationRefusalReason>;

/** Why a request got no permit of an endpoint that limits its requests; both times in ms. */
export const PermitRefusal = z.object({
  /** Time until there is a permit. */
  waitMs: z.number(),
  /** Time after which the caller should return. */
  returnMs: z.number(),
});
export type PermitRefusal = z.infer<typeof PermitRefusal>;

export const ReservationRefused = z.object({
  type: z.literal('placeRefused'),
  request: Id,
  ask: z.int().min(0),
  engine: Id,
  reason: ReservationRefusalReason,
  /** Present for `limited`. */
  limit: PermitRefusal.optional(),
});

/** Releases a reservation, or withdraws a request that was not answered. */
export const ReservationReleased = z.object({
  type: z.literal('placeReleased'),
  request: Id,
  engine: Id,
  /**
   * `brokenOff`: cancelled, but the engine may continue it for a short time. `missing`: the engine
   * answered that it does not hold the adapter in that version.
   */
  result: z.enum(['ended', 'brokenOff', 'missing']),
  /** Whether the endpoint turned the request away for want of room. */
  isRefused: z.boolean().optional(),
});
export type ReservationReleased = z.infer<typeof ReservationReleased>;

/** The engine has completed the prefill of a request and sent the first event. */
export const ReservationStarted = z.object({
  type: z.literal('placeStarted'),
  request: Id,
  engine: Id,
});

/** Asks the owner of an engine to load an adapter whose engine leaves. */
export const AdapterWanted = z.object({
  type: z.literal('adapterWanted'),
  engine: Id,
  /** `model/adapter` */
  adapter: z.string().min(1).max(400),
  /** Newest announced version; 0 if none was announced. */
  version: z.int().min(0),
  /** Decayed number of recent requests for it. */
  demand: z.number().min(0),
});
export type AdapterWanted = z.infer<typeof AdapterWanted>;

/** Announces the status of the sender's engines to the other hosts. */
export const EngineStatusAnnouncement = z.object({
  type: z.literal('enginesTold'),
  engines: z.array(
    z.object({
      engine: Id,
      epoch: z.int().min(0),
      /** Expected prefill time of the pending and queued prompts, in ms. */
      backlogMs: z.number(),
      running: z.int().min(0),
      /** Base models loaded on the engine. */
      models: z.array(z.string()),
      /** Whether a base model is loading on the engine. */
      isLoadingModel: z.boolean(),
      /**
       * Slots that are free or hold an adapter without reservations, minus the queued adapters that
       * are not on the engine; may be negative.
       */
      openSlots: z.int(),
      /** Resident and loading adapters that are not outdated, with their versions; 0 if unknown. */
      adapters: z.array(z.tuple([z.string(), z.int().min(0)])),
      /** Tokens of prompts that it reads in a ms; hosts of earlier versions omit it. */
      tokensPerMs: z.number().positive().optional(),
    }),
  ),
});
export type EngineStatusAnnouncement = z.infer<typeof EngineStatusAnnouncement>;
export type EngineStatus = EngineStatusAnnouncement['engines'][number];

/**
 * What a queued reservation waits for: adapter, room in batch or memory, pending prefill, or a permit of
 * an engine that limits its requests.
 */
export type WaitReason = 'adapter' | 'batch' | 'memory' | 'prompts' | 'limit';

/** A reservation request in the owner's queue. */
export interface QueuedReservation extends ReservationRequest {
  from: string;
  arrivedAt: number;
  /** Monotonic ms after which the first event is late, and at which the deadline ends. */
  goalAt: number;
  deadlineAt: number;
  /** Whether the requesting host was informed that the request is queued. */
  isAcknowledged: boolean;
  /** Reason of the latest wait. */
  waitedFor: WaitReason | undefined;
}

/** Capacity of an owned engine that is granted to a request. */
export interface Reservation {
  request: string;
  host: string;
  adapter: string;
  tokens: number;
  promptTokens: number;
  /** Whether the engine has not sent the first event of the request yet. */
  isPrefilling: boolean;
  grantedAt: number;
  /** Monotonic ms after which the request cannot be running. */
  expiresAt: number;
}

/** An adapter that takes a slot of an engine. */
export interface AdapterCopy {
  adapter: string;
  /** Undefined if the engine does not report it. */
  version: number | undefined;
  phase: 'loading' | 'resident' | 'unloading';
  /** Monotonic ms of the order that began the phase, and of the last check of its progress. */
  orderedAt: number;
  checkedAt: number;
  lastUsedAt: number;
  /** Number of reservations that use the copy. */
  reservations: number;
  /** Monotonic ms until which a cancelled request may still run on the copy. */
  busyUntil: number;
}

/** The load of a base model; times are monotonic ms. */
export interface ModelLoad {
  model: string;
  orderedAt: number;
  checkedAt: number;
  /** Base model loads on all engines when this one began, including it. */
  concurrentLoads: number;
}

/** State of an engine that this host owns. */
export interface EngineResidency {
  id: string;
  address: string;
  /** Unix ms of the engine's start. */
  startedAt: number;
  epoch: number;
  /** Monotonic ms from which this host may issue orders. */
  ordersAllowedAt: number;
  /** Whether the engine has seen a higher fencing number. */
  isFenced: boolean;
  /** Number of orders that the engine accepted; undefined until a report was read. */
  sequence: number | undefined;
  isReadingReport: boolean;
  /** Monotonic ms before which a report would not show the last order. */
  reportAllowedAt: number;
  /** Order in flight; one at a time, since each carries the sequence that it expects. */
  orderInFlight: AdapterOrder | undefined;
  /** Order whose answer was lost; it is repeated before any other. */
  unacknowledgedOrder: AdapterOrder | undefined;
  /** Consecutive orders whose answers were lost. */
  lostAnswers: number;
  /** Consecutive orders that the engine refused. */
  refusals: number;
  /** Monotonic ms of the next timer that serves the queue; -Infinity before the first one. */
  nextServeAt: number;
  /** Base models loaded on the engine. */
  models: Set<string>;
  /** Base model load in progress; the engine accepts no other order meanwhile. */
  modelLoad: ModelLoad | undefined;
  copies: Map<string, AdapterCopy>;
  /** Adapters that are to be loaded without a request, by name; `expiresAt` is monotonic ms. */
  wanted: Map<string, { version: number; demand: number; expiresAt: number }>;
  /** Whether the adapters of this start of the engine were relocated, since it takes no more requests. */
  isRelocated: boolean;
  queue: QueuedReservation[];
  reservations: Map<string, Reservation>;
  /** Tokens of all reservations. */
  reservedTokens: number;
  /** Prompt tokens that were sent to the engine and wait for prefill. */
  pendingPrefillTokens: number;
  /** Those of them that belong to long prompts. */
  longPrefillTokens: number;
  /** The prompt that the engine is reading, as far as first events tell. */
  reading: PromptReading | undefined;
  speed: EngineSpeed;
  /** Decayed tokens of the reservations of each tenant. */
  tenantUse: Map<string, DecayingCounter>;
}

/** A prompt that an engine is reading, and monotonic ms since when it may have been. */
export interface PromptReading {
  request: string;
  tokens: number;
  since: number;
}

export interface AdapterOrder {
  type: 'load' | 'unload';
  /** `model/adapter`, or `model` for the base model itself. */
  adapter: string;
  /** Version to load; undefined for the newest. */
  version: number | undefined;
  sequence: number;
}

export type AdapterOrderAnswer =
  /** The engine executes the order. */
  | { type: 'accepted' }
  /** The ordered state is reached. */
  | { type: 'done' }
  /** Another order is in progress, or the sequence differs. */
  | { type: 'conflict' }
  /** The engine has seen a higher fencing number. */
  | { type: 'fenced' }
  /** Another engine answered at the address. */
  | { type: 'otherEngine' }
  /** The engine refused the order. */
  | { type: 'refused'; reason: string }
  /** No valid answer: the order may be executed now or later. */
  | { type: 'unknown'; reason: string };

/** Report of an engine on itself, some hundred ms old. */
export interface AdapterReport {
  startedAt: number;
  sequence: number;
  /** Base models loaded on the engine. */
  models: string[];
  adapters: { adapter: string; version: number | undefined }[];
  /** Adapters that are loading. */
  loading: string[];
}

/** State of the engines that this host owns, and the announced status of the others. */
export class Residency {
  readonly owned = new Map<string, EngineResidency>();
  /**
   * Announced status of the engines of other hosts. `sentPrefillMs` is the prefill time of the prompts
   * for which this host has requested reservations since the announcement.
   */
  readonly remoteStatuses = new Map<
    string,
    EngineStatus & { from: string; receivedAt: number; sentPrefillMs: number }
  >();
  /** Announced versions by adapter. */
  readonly versions = new Map<string, number>();
  isAnnouncementScheduled = false;
  isKeepAliveScheduled = false;
  /** Limits the rate of base model loads that this host starts; undefined before the first one. */
  modelLoadBucket: TokenBucket | undefined;
  /** Limit on concurrent base model loads on all engines. */
  maxConcurrentModelLoads = 1;
  /** Number of concurrent loads that was too slow, and the monotonic ms until it is avoided. */
  slowConcurrency = Infinity;
  slowConcurrencyUntil = -Infinity;
  readonly popularity = Popularity.create(POPULARITY_HALF_LIFE_MS);

  private constructor() {}

  static create(): Residency {
    return new Residency();
  }
}

export type ResidencyEvent =
  | {
      type: 'adapterOrderAnswered';
      engine: string;
      epoch: number;
      order: AdapterOrder;
      answer: AdapterOrderAnswer;
    }
  | {
      type: 'adapterReportRead';
      engine: string;
      report: AdapterReport | undefined;
      reason: string;
    };

export type ResidencyEffect =
  | {
      type: 'sendAdapterOrder';
      engine: string;
      address: string;
      epoch: number;
      order: AdapterOrder;
    }
  | { type: 'readAdapterReport'; engine: string; address: string };

export type ResidencyTimer =
  | { type: 'serveReservations'; engine: string }
  | { type: 'announceEngineStatus' }
  | { type: 'keepOrderConnections' };
