import { z } from 'zod';
import type { TokenBucket } from '../base/tokenBucket.ts';
import { Popularity } from '../grants/popularity.ts';

/** Half-life of the demand that evictions are decided by; it moves within seconds. */
const POPULARITY_HALF_LIFE_MS = 10_000;

const Id = z.string().min(1).max(200);

/** Asks the owner of an engine for a place there. */
export const ReservationRequest = z.object({
  type: z.literal('placeAsked'),
  request: Id,
  /** Number of the ask within the request. */
  ask: z.int().min(0),
  engine: Id,
  /** `model/adapter`; empty for the base model alone. */
  adapter: z.string(),
  /** Newest version that the asking host knows; 0 when none was announced. */
  version: z.int().min(0),
  promptTokens: z.number().min(0),
  outputTokens: z.number().min(0),
  /** Time until the request's deadline, and until it is late, in ms. */
  remainingMs: z.number(),
  goalMs: z.number(),
});
export type ReservationRequest = z.infer<typeof ReservationRequest>;

export const ReservationGranted = z.object({
  type: z.literal('placeGiven'),
  request: Id,
  ask: z.int().min(0),
  engine: Id,
  /** Version of the adapter on the engine; absent when it is not known. */
  version: z.int().min(0).optional(),
  /** Time that the ask waited for its adapter, in ms. */
  stallMs: z.number(),
});
export type ReservationGranted = z.infer<typeof ReservationGranted>;

/** The ask waits in the owner's queue. */
export const ReservationQueued = z.object({
  type: z.literal('placeQueued'),
  request: Id,
  ask: z.int().min(0),
});

export const ReservationRefusalReason = z.enum(['notOwner', 'leaving', 'replacing']);
export type ReservationRefusalReason = z.infer<typeof ReservationRefusalReason>;

export const ReservationRefused = z.object({
  type: z.literal('placeRefused'),
  request: Id,
  ask: z.int().min(0),
  engine: Id,
  reason: ReservationRefusalReason,
});

/** Gives a place back, or withdraws an ask that was not answered. */
export const ReservationReleased = z.object({
  type: z.literal('placeReleased'),
  request: Id,
  engine: Id,
  /**
   * `brokenOff` when the engine may run it on for a short time, `missing` when the engine said
   * that it does not hold the adapter in that version.
   */
  result: z.enum(['ended', 'brokenOff', 'missing']),
});
export type ReservationReleased = z.infer<typeof ReservationReleased>;

/** The engine has read the prompt of a request and sent the first event. */
export const ReservationStarted = z.object({
  type: z.literal('placeStarted'),
  request: Id,
  engine: Id,
});

/** What an owner tells the other hosts of its engines. */
export const EngineStatusAnnouncement = z.object({
  type: z.literal('enginesTold'),
  engines: z.array(
    z.object({
      engine: Id,
      epoch: z.int().min(0),
      /** Time until a prompt that is sent now is read, in ms. */
      backlogMs: z.number(),
      running: z.int().min(0),
      /** Base models that it holds. */
      models: z.array(z.string()),
      /** Whether a base model is on its way to it. */
      isLoadingModel: z.boolean(),
      /** Slots that are free or hold an adapter that can make way. */
      openSlots: z.int(),
      /** Adapters that can be used, with their versions; 0 when not known. */
      adapters: z.array(z.tuple([z.string(), z.int().min(0)])),
    }),
  ),
});
export type EngineStatusAnnouncement = z.infer<typeof EngineStatusAnnouncement>;
export type EngineStatus = EngineStatusAnnouncement['engines'][number];

/** What an ask waits for: its adapter, room in the batch or memory, or that prompts are read. */
export type WaitReason = 'adapter' | 'batch' | 'memory' | 'prompts';

/** An ask that waits at the owner. */
export interface QueuedReservation extends ReservationRequest {
  from: string;
  arrivedAt: number;
  /** Monotonic ms after which it is late, and after which it is dropped. */
  goalAt: number;
  deadlineAt: number;
  isAcknowledged: boolean;
  /** What it waited for last. */
  waitedFor: WaitReason | undefined;
}

/** A request that may run on an owned engine. */
export interface Reservation {
  request: string;
  host: string;
  adapter: string;
  tokens: number;
  promptTokens: number;
  /** Whether the engine has not sent the first event yet. */
  isPrefilling: boolean;
  grantedAt: number;
  /** Monotonic ms after which it cannot be running any more. */
  expiresAt: number;
}

/** An adapter that takes a slot of an engine. */
export interface AdapterCopy {
  adapter: string;
  /** Undefined when the engine did not tell it. */
  version: number | undefined;
  phase: 'loading' | 'resident' | 'unloading';
  /** Monotonic ms of the order that began the phase, and of the last question about it. */
  orderedAt: number;
  checkedAt: number;
  lastUsedAt: number;
  /** Places given for it. */
  reservations: number;
  /** Monotonic ms until which a request that was broken off may still run on it. */
  busyUntil: number;
}

/** The load of a base model; times are monotonic ms. */
export interface ModelLoad {
  model: string;
  orderedAt: number;
  checkedAt: number;
  /** Loads of base models that ran on all engines when it began, itself included. */
  concurrentLoads: number;
}

export interface EngineResidency {
  id: string;
  address: string;
  /** Unix ms of the engine's start. */
  startedAt: number;
  epoch: number;
  /** Monotonic ms from which this host may give orders. */
  ordersAllowedAt: number;
  /** Whether the engine has seen a higher fencing number. */
  isFenced: boolean;
  /** Orders that the engine accepted; undefined until a report tells. */
  sequence: number | undefined;
  isReadingReport: boolean;
  /** Monotonic ms before which a report would not show the last order. */
  reportAllowedAt: number;
  /** Order in flight; one at a time, as each names the sequence it expects. */
  orderInFlight: AdapterOrder | undefined;
  /** Order whose answer was lost; it is given again before any other. */
  unacknowledgedOrder: AdapterOrder | undefined;
  /** Orders in a row whose answers were lost. */
  lostAnswers: number;
  /** Orders in a row that the engine did not take. */
  refusals: number;
  /** Monotonic ms of the next timer that serves the queue. */
  nextServeAt: number;
  /** Base models that it holds. */
  models: Set<string>;
  /** Base model on its way; the engine takes no other order meanwhile. */
  modelLoad: ModelLoad | undefined;
  copies: Map<string, AdapterCopy>;
  queue: QueuedReservation[];
  reservations: Map<string, Reservation>;
  /** Tokens of all places. */
  reservedTokens: number;
  /** Prompt tokens that it was sent and has not read. */
  pendingPrefillTokens: number;
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
  /** The engine carries it out. */
  | { type: 'accepted' }
  /** What the order asks for is the case. */
  | { type: 'done' }
  /** Another order is under way, or the sequence differs. */
  | { type: 'conflict' }
  /** The engine has seen a higher fencing number. */
  | { type: 'fenced' }
  /** Another engine has the address. */
  | { type: 'otherEngine' }
  /** The engine did not take it. */
  | { type: 'refused'; reason: string }
  /** It may be carried out, now or later. */
  | { type: 'unknown'; reason: string };

/** What an engine reports of itself, some hundred ms old. */
export interface AdapterReport {
  startedAt: number;
  sequence: number;
  /** Base models that it holds. */
  models: string[];
  adapters: { adapter: string; version: number | undefined }[];
  /** Adapters on their way. */
  loading: string[];
}

/** State of the engines that this host owns, and what the others tell of theirs. */
export class Residency {
  readonly owned = new Map<string, EngineResidency>();
  readonly remoteStatuses = new Map<
    string,
    EngineStatus & { from: string; receivedAt: number; sentPrefillMs: number }
  >();
  /** Announced versions by adapter. */
  readonly versions = new Map<string, number>();
  isAnnouncementScheduled = false;
  /** Loads of base models that this host may start; undefined before the first one. */
  modelLoadBucket: TokenBucket | undefined;
  /** Loads of base models that may run on all engines together. */
  maxConcurrentModelLoads = 1;
  /** Loads that took longer together than one by one, and the monotonic ms until which that holds. */
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
  { type: 'serveReservations'; engine: string } | { type: 'announceEngineStatus' };
