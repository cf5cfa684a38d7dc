import { z } from 'zod';
import type { TokenBucket } from '../base/tokenBucket.ts';
import type { EngineRole } from '../configuration/types.ts';
import { Popularity } from './popularity.ts';
import { Suspect } from '../suspects/types.ts';
import { Name } from '../configuration/types.ts';

const Id = z.string().min(1).max(128);

/** Asks the owner of an engine for permission to run one request there. */
export const GrantRequest = z.object({
  type: z.literal('grantAsk'),
  request: Id,
  /** Number of the ask within the request. */
  ask: z.int().min(0),
  engine: Name,
  model: Id,
  firm: Name,
  kind: z.enum(['urgent', 'ordinary', 'draft']),
  priority: z.int().min(0).max(9),
  /** Milliseconds until the request's deadline. */
  remainingMs: z.number(),
  fingerprint: z.string(),
  /** What the asking host knows of the fingerprint; its report may still be on its way. */
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
  /** Time the ask waited for the adapter to arrive, in ms. */
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

/** Ends a grant, or withdraws an ask that was not answered yet (`grant` is empty). */
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

/** Asks another owner for load tokens. */
export const LoadTokenRequest = z.object({
  type: z.literal('loadTokensAsked'),
  need: z.number().min(0).max(1),
  /** Rank of the load that waits; the lender keeps what a load of its own needs more. */
  rank: z.number(),
});
export type LoadTokenRequest = z.infer<typeof LoadTokenRequest>;

/** Load tokens that the lender has already deducted; lost with this message. */
export const LoadTokenLoan = z.object({
  type: z.literal('loadTokensLent'),
  count: z.number().min(0).max(1),
  /** What the lender could still lend. */
  left: z.number(),
});
export type LoadTokenLoan = z.infer<typeof LoadTokenLoan>;

/** An ask that waits at the owner for a place or for its adapter. */
export interface QueuedGrantRequest extends GrantRequest {
  from: string;
  arrivedAt: number;
  /** Time at which the adapter became resident, or undefined while it is missing. */
  residentAt: number | undefined;
}

/** A grant that is in use; its adapter may not be evicted. */
export interface Pin {
  grant: string;
  request: string;
  /** Ask that the grant answered; absent when the pin was handed over. */
  ask?: number;
  host: string;
  model: string;
  firm: string;
  fingerprint: string;
  grantedAt: number;
  /** Monotonic ms after which the request cannot be running any more. */
  expiresAt: number;
}

/** An adapter that the owner counts as loaded; times are monotonic ms. */
export interface Resident {
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
  /** Changes only through pins.ts, which keeps the counts below. */
  pins: Map<string, Pin>;
  /** Number of pins by `adapter@version`. */
  pinsByModel: Map<string, number>;
  /** Last grant of each request. */
  grantByRequest: Map<string, string>;
  pinsByFirm: Map<string, number>;
  /** Requests that the engine's last report shows, by `adapter@version`. */
  reportedRunning: Map<string, number>;
  residents: Map<string, Resident>;
  /** Load orders without an answer, by model, with the time of the order. */
  loading: Map<string, number>;
  unloading: Map<string, number>;
  /** Times of unloads within the lag of a report. */
  unloadedAt: Map<string, number>;
  /** Adapters that intents want resident here. */
  warmModels: Set<string>;
  /** Role that the engine was last ordered to take, and whether another one is due or ordered. */
  role: EngineRole;
  isRoleChanging: boolean;
  isRoleOrdered: boolean;
  /** Boot id of the last report. */
  bootId: string;
  loadTokens: TokenBucket;
  /** Rank of the load that waits for a token or a slot; -1 when none does. */
  waitingLoadRank: number;
  /** Time of the next scheduled `serveQueue`. */
  nextServeAt: number;
}

/** Load tokens on loan from other owners. */
export interface LoadTokenLending {
  borrowed: number;
  borrowedExpiresAt: number;
  /** Time until which an answer of a lender is awaited. */
  answerDueAt: number;
  /** Time of the last question to each host, and what it then had left. */
  lastAskedAt: Map<string, number>;
  left: Map<string, number>;
}

/** State of the engines that this host owns. */
export class Grants {
  readonly owned = new Map<string, OwnedEngine>();
  /** Unix ms minus monotonic ms, set by the host; undefined while it is not known. */
  unixOffsetMs: number | undefined;
  isReconciling = false;
  readonly popularity = Popularity.create();
  readonly lending: LoadTokenLending = {
    borrowed: 0,
    borrowedExpiresAt: -Infinity,
    answerDueAt: -Infinity,
    lastAskedAt: new Map(),
    left: new Map(),
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
  /** The engine saw a newer fencing number. */
  | { type: 'fenced' }
  /** The order may have taken effect. */
  | { type: 'unknown'; reason: string };

/** The answer to an order, with the epoch under which it was sent. */
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
