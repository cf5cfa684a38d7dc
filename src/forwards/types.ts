import type { Failure } from '../errors/failure.ts';
import { Popularity } from '../grants/popularity.ts';
import type { Route } from '../routes/types.ts';
import { SharedRetryBudget } from './sharedRetryBudget.ts';
import { PLACEMENT_POPULARITY_HALF_LIFE_MS } from './constants.ts';

/** What a request says of itself, beside its method, path and body. */
export interface RequestLabels {
  /** Names the caller's attempt in logs and at the endpoint; empty when the caller gave none. */
  attemptId: string;
  /** `model` or `model/adapter`; empty when the request names none. */
  model: string;
  /** `model/adapter`; empty for the base model alone and for plain requests. */
  adapter: string;
  promptTokens: number;
  /** Most tokens that the answer may have. */
  outputTokens: number;
  /** Time that the caller waits, in ms; Infinity when it does not say. */
  waitMs: number;
}

/** A request as the front server hands it to the reducer. */
export interface NewForward {
  id: string;
  host: string;
  /** Path with query. */
  target: string;
  labels: RequestLabels;
  /** Hash of method, target, body and prompt; equal for repeats of the same request. */
  fingerprint: string;
  /** Monotonic ms at which its head arrived. */
  arrivedAt: number;
}

/** `awaitingOwner`: waits for a place; `running`: sent to an endpoint; `backoff`: waits for a retry. */
export type ForwardPhase = 'awaitingOwner' | 'running' | 'backoff';

/** One send of a request to an endpoint. */
export interface ForwardAttempt {
  id: string;
  endpoint: string;
  /** Host that gave the place; undefined when none was asked. */
  owner: string | undefined;
  startedAt: number;
}

/** A request in flight on this host. */
export interface Forward extends NewForward {
  route: Route;
  service: string;
  /** Monotonic ms by which it must have its final answer, and after which it is late. */
  deadlineAt: number;
  goalAt: number;
  phase: ForwardPhase;
  reservationRequestNumber: number;
  pendingReservation: { engine: string; owner: string; isQueued: boolean } | undefined;
  attempt: ForwardAttempt | undefined;
  /** Sends so far. */
  sends: number;
  /** Endpoints on which it has run or may have run. */
  ranOn: Set<string>;
  /** Endpoints that did not take it or failed it. */
  excluded: Set<string>;
  /** Whether it may have run and must not run again. */
  mayHaveRun: boolean;
  /** Whether bytes of an answer were passed on. */
  hasResponseStarted: boolean;
  /** Whether an endpoint's failure is kept that is passed on unless a repeat does better. */
  hasFailedResponse: boolean;
  /** Rounds in which no endpoint could be chosen. */
  backoffs: number;
  /** Last event of a stream that was passed on. */
  lastEventId: string | undefined;
  /** Why the last endpoint or owner did not serve it. */
  lastReason: string;
  /** Monotonic ms of the first send and of the first byte that was passed on. */
  sentAt: number | undefined;
  firstByteAt: number | undefined;
  /** Longest pause between two events of its stream, in ms. */
  longestPauseMs: number | undefined;
  /** Wait for a place at the owner, in ms. */
  stallMs: number;
}

export type ForwardOutcome =
  /** A stream was passed on to its end. */
  | { type: 'passed'; longestPauseMs: number }
  /** The whole answer is here and not passed on yet. */
  | { type: 'answered'; status: number }
  /** The endpoint says that it did not run the request. */
  | { type: 'notRun'; reason: 'full' | 'adapterMissing' | 'otherEndpoint' }
  /** No connection was opened, or nothing was written to it. */
  | { type: 'unreachable'; reason: string }
  /** It was sent, and no valid answer came. */
  | { type: 'broken'; reason: string; lastEventId: string | undefined }
  | { type: 'cancelled' };

export class Forwards {
  readonly inFlight = new Map<string, Forward>();
  /** Retry budgets by service. */
  readonly retryBudgets = new Map<string, SharedRetryBudget>();
  readonly brokenAttempts = new Map<string, { count: number; at: number }>();

  /** Recent requests of this host by adapter. */
  readonly popularity = Popularity.create(PLACEMENT_POPULARITY_HALF_LIFE_MS);

  private constructor() {}

  static create(): Forwards {
    return new Forwards();
  }
}

export type ForwardEvent =
  | { type: 'forwardArrived'; forward: NewForward }
  /** The caller closed its connection. */
  | { type: 'forwardCancelled'; id: string }
  /** The first byte of an answer was passed on. */
  | { type: 'forwardStarted'; id: string; attempt: string }
  | { type: 'forwardEnded'; id: string; attempt: string; outcome: ForwardOutcome };

/** What the host needs to send a request to an endpoint. */
export interface AttemptSpec {
  id: string;
  attempt: string;
  endpoint: string;
  address: string;
  isStream: boolean;
  /** Monotonic ms by which the answer must be complete. */
  deadlineAt: number;
  priority: number | undefined;
  /** Version of the adapter that the endpoint must hold. */
  version: number | undefined;
  /** Event after which a stream continues. */
  resumeAfter: string | undefined;
}

export type ForwardEffect =
  /** Takes no new connections and closes idle ones. */
  | { type: 'closeFrontServer' }
  | { type: 'sendForward'; spec: AttemptSpec }
  | { type: 'cancelForward'; id: string; attempt: string }
  /** Passes on the whole answer of the last attempt. */
  | { type: 'passResponse'; id: string }
  /** The stream has ended and its end is passed on. */
  | { type: 'endResponse'; id: string }
  /** Answers with a failure, or breaks off the answer that has begun. */
  | { type: 'failForward'; id: string; failure: Failure };

export type ForwardTimer =
  | { type: 'forwardDeadline'; id: string }
  /** A request that was not sent by now is given up. */
  | { type: 'placementTimeout'; id: string }
  | { type: 'forwardRetry'; id: string }
  /** The owner did not react to an ask. */
  | { type: 'reservationTimeout'; id: string; reservationRequestNumber: number };
