import { z } from 'zod';
import type { TokenBucket } from '../base/tokenBucket.ts';
import type { EngineRole } from '../configuration/types.ts';
import { Popularity } from './popularity.ts';
import { Suspect } from '../suspects/types.ts';
import { Name } from '../configuration/types.ts';

const Id = z.string().min(1).max(128);

/** Requests permission from the owner of an engine to run one request there. */
export const GrantRequest = z.object({
  type: z.literal('grantAsk'),
  request: Id,
  /** Number of the grant request within the request. */
  ask: z.int().min(0),
  engine: Name,
  /** `adapter@version` */
  model: Id,
  firm: Name,
  kind: z.enum(['urgent', 'ordinary', 'draft']),
  priority: z.int().min(0).max(9),
  /** Milliseconds until the request's deadline. */
  remainingMs: z.number(),
  fingerprint: z.string(),
  /** Suspect record of the fingerprint at the requesting host; its own report may arrive later. */
  suspect: Suspect.optional(),
  maxTokens: z.int().min(0),
});
export type GrantRequest = z.infer<typeof GrantRequest>;

export const GrantGiven = z.object({
  type: z.literal('grantGiven'),
  request: Id,
  ask: z.int().min(0),
  engine: Name,
  grant: Id,
  epoch: z.int().min(0),
  /** Boot id of the engine in its last report; empty when there is none. */
  bootId: z.string().default(''),
  /** Time that the request waited for its adapter to load, in ms. */
  stallMs: z.number(),
});
export type GrantGiven = z.infer<typeof GrantGiven>;

export const RefusalReason = z.enum([
  'notOwner',
  'leaving',
  'full',
  'cannotEvict',
  'loadFailed',
  'loadTooSlow',
  'suspect',
  'unreachable',
]);
export type RefusalReason = z.infer<typeof RefusalReason>;

export const GrantRefused = z.object({
  type: z.literal('grantRefused'),
  request: Id,
  ask: z.int().min(0),
  engine: Name,
  reason: RefusalReason,
});
export type GrantRefused = z.infer<typeof GrantRefused>;

/** Releases a grant, or withdraws an unanswered grant request (`grant` is empty). */
export const GrantReleased = z.object({
  type: z.literal('grantReleased'),
  request: Id,
  engine: Name,
  grant: z.string(),
  /** Boot id of the engine that the attempt was granted for. */
  bootId: z.string().optional(),
  /** Whether the engine completed the request, failed it, or crashed under it. */
  result: z.enum(['completed', 'failed', 'crashed', 'unused']),
});
export type GrantReleased = z.infer<typeof GrantReleased>;

/** Requests load tokens from another owner. */
export const LoadTokenRequest = z.object({
  type: z.literal('loadTokensAsked'),
  need: z.number().min(0).max(1),
  /**
   * Rank of the waiting load; a lender whose own load has an equal or higher rank lends nothing.
   */
  rank: z.number(),
});
export type LoadTokenRequest = z.infer<typeof LoadTokenRequest>;

/** Load tokens that the lender has already deducted; they are lost if the message is lost. */
export const LoadTokenLoan = z.object({
  type: z.literal('loadTokensLent'),
  count: z.number().min(0).max(1),
  /** Tokens that the lender can still lend. */
  left: z.number(),
});
export type LoadTokenLoan = z.infer<typeof LoadTokenLoan>;

/** A grant request that waits at the owner for batch capacity or for its adapter. */
export interface QueuedGrantRequest extends GrantRequest {
  from: string;
  arrivedAt: number;
  /** Monotonic ms at which the load of its adapter ended; undefined before, or if none was needed. */
  residentAt: number | undefined;
}

/** A grant that is in use; its adapter may not be evicted. */
export interface Pin {
  grant: string;
  request: string;
  /** Number of the answered grant request; absent when the pin came from the previous owner. */
  ask?: number;
  host: string;
  /** `adapter@version` */
  model: string;
  firm: string;
  fingerprint: string;
  grantedAt: number;
  /** Monotonic ms after which the request can no longer be running. */
  expiresAt: number;
}

/** An adapter that the owner considers loaded; times are in monotonic ms. */
export interface Resident {
  /** `adapter@version` */
  model: string;
  loadedAt: number;
  lastUsedAt: number;
}

/** An engine that this host owns. */
export interface OwnedEngine {
  id: string;
  epoch: number;
  ownedSince: number;
  queue: QueuedGrantRequest[];
  /** Changed only by pins.ts, which keeps the counts below in step. */
  pins: Map<string, Pin>;
  /** Number of pins by `adapter@version`. */
  pinsByModel: Map<string, number>;
  /** Latest grant by request, unless it was released. */
  grantByRequest: Map<string, string>;
  pinsByFirm: Map<string, number>;
  /** Running requests in the engine's last report, by `adapter@version`. */
  reportedRunning: Map<string, number>;
  residents: Map<string, Resident>;
  /** Monotonic ms of the unanswered load and unload orders, by `adapter@version`. */
  loading: Map<string, number>;
  unloading: Map<string, number>;
  /** Monotonic ms of recent unloads that a report may not show yet, by `adapter@version`. */
  unloadedAt: Map<string, number>;
  /** Adapters that warm intents keep resident on this engine. */
  warmModels: Set<string>;
  /** Current role, whether the configured one differs, and whether that one was ordered. */
  role: EngineRole;
  isRoleChanging: boolean;
  isRoleOrdered: boolean;
  /** Boot id of the last report. */
  bootId: string;
  loadTokens: TokenBucket;
  /** Rank of the load that waits for a token or a slot, or -1. */
  waitingLoadRank: number;
  /** Monotonic ms of the next scheduled `serveQueue` timer. */
  nextServeAt: number;
}

/** Load tokens borrowed from other owners, and the requests for them. */
export interface LoadTokenBorrowing {
  borrowed: number;
  borrowedExpiresAt: number;
  /** Monotonic ms until which a pending token request prevents one to another lender. */
  answerDueAt: number;
  /**
   * Monotonic ms of the last token request to each host, and its last reported remaining tokens.
   */
  requestedAtByLender: Map<string, number>;
  remainingByLender: Map<string, number>;
}

/** State of the engines that this host owns. */
export class Grants {
  readonly owned = new Map<string, OwnedEngine>();
  /** Unix ms minus monotonic ms, set by the host; undefined until then. */
  unixOffsetMs: number | undefined;
  isReconcileScheduled = false;
  readonly popularity = Popularity.create();
  readonly borrowing: LoadTokenBorrowing = {
    borrowed: 0,
    borrowedExpiresAt: -Infinity,
    answerDueAt: -Infinity,
    requestedAtByLender: new Map(),
    remainingByLender: new Map(),
  };

  private constructor() {}

  static create(): Grants {
    return new Grants();
  }
}

export type EngineOrder =
  | { type: 'load'; model: string; source: string }
  | { type: 'unload'; model: string }
  | { type: 'role'; role: EngineRole };

export type EngineOrderAnswer =
  | { type: 'done' }
  | { type: 'failed'; reason: string }
  /** The engine has seen a higher fencing number. */
  | { type: 'fenced' }
  /** The order may have taken effect. */
  | { type: 'unknown'; reason: string };

/** An engine's answer to an order, with the ownership epoch of the order. */
export interface GrantEvent {
  type: 'orderAnswered';
  engine: string;
  epoch: number;
  order: EngineOrder;
  answer: EngineOrderAnswer;
}

/** An order to an engine. */
export interface GrantEffect {
  type: 'orderEngine';
  engine: string;
  address: string;
  epoch: number;
  order: EngineOrder;
}

export type GrantTimer =
  | { type: 'pinExpiry'; engine: string; grant: string }
  | { type: 'reconcile' }
  | { type: 'serveQueue'; engine: string };
