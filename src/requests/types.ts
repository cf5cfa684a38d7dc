import type { Failure } from '../errors/failure.ts';
import type { RefusalReason } from '../grants/types.ts';
import type { NamedPause } from '../notices/types.ts';
import { RetryBudget } from './retryBudget.ts';

export type RequestKind = 'urgent' | 'ordinary' | 'draft';

/** A parsed completion request from the callers' server or a draft. */
export interface NewRequest {
  id: string;
  firm: string;
  caller: string;
  kind: RequestKind;
  adapter: string;
  /** Undefined when the caller named the adapter without a version. */
  version: string | undefined;
  /** Monotonic ms by which the response must be complete. */
  deadline: number;
  /** On arrival a hash of the normalized body; once admitted, of adapter, version and body. */
  fingerprint: string;
  maxTokens: number;
  /** Draft that the request runs for; undefined for a caller's request. */
  draft: string | undefined;
}

/**
 * `awaitingOwner`: requested a grant; `running`: an attempt is in flight; `awaitingProbe`: the engine
 * of a broken attempt is probed for a crash; `backoff`: waits for a retry, a link or its suspect row.
 */
export type RequestPhase = 'awaitingOwner' | 'running' | 'awaitingProbe' | 'backoff';

/** One run of a request on an engine, under a grant. */
export interface Attempt {
  id: string;
  engine: string;
  owner: string;
  grant: string;
  /** Ownership epoch of the grant. */
  epoch: number;
  /** Boot id of the engine in its owner's last report; empty without a report. */
  bootId: string;
  /** Whether the first byte of the response was relayed. */
  hasResponseStarted: boolean;
  /** Monotonic ms. */
  sentAt: number;
}

/** A request in flight on the host that received it. */
export interface Request extends NewRequest {
  /** Resolved on arrival. */
  version: string;
  /** `adapter@version` */
  model: string;
  /** 0 (first) to 9 (last), from the configured caller order. */
  priority: number;
  arrivedAt: number;
  phase: RequestPhase;
  /** Number of the current grant request; answers to earlier ones are ignored. */
  grantRequestNumber: number;
  /** Where the current grant request was sent. */
  pendingGrant: { engine: string; owner: string } | undefined;
  attempt: Attempt | undefined;
  attempts: number;
  /** Engine being probed, and the failure after the probe; without one, the request is retried. */
  crashCheck: { engine: string; failure: Failure | undefined } | undefined;
  /** Engines that are not chosen again for this request. */
  excluded: Set<string>;
  /** Refusals by hosts that no longer owned the engine. */
  ownerChanges: number;
  /** Owners to which a link was requested for this request. */
  linkedOwners: Set<string>;
  loadStallMs: number;
  /** Whether its suspect row was requested because the zone of the crash cannot be reached. */
  hasRequestedSuspectRow: boolean;
  /** Whether an ended attempt may have run the request. */
  mayHaveRun: boolean;
  lastRefusal: RefusalReason | undefined;
}

/** Requests in flight on this host. */
export class Requests {
  readonly inFlight = new Map<string, Request>();
  /** Requests in flight by caller. */
  readonly countByCaller = new Map<string, number>();
  /** Requests in flight by firm. */
  readonly countByFirm = new Map<string, number>();
  readonly retryBudget = RetryBudget.create();

  private constructor() {}

  static create(): Requests {
    return new Requests();
  }
}

export type AttemptOutcome =
  | { type: 'completed'; adapter: string; version: string; tokens: number }
  /** The engine answered that the adapter is not resident; nothing ran. */
  | { type: 'notResident' }
  /** The engine refused the request; `status` is its HTTP status, `pause` the time that it asks for. */
  | { type: 'refused'; status: number; message: string; pause?: NamedPause }
  /** The engine reported another adapter or version. */
  | { type: 'wrongAdapter'; reported: string }
  /** No connection was established; nothing ran. */
  | { type: 'unreachable' }
  /** The connection broke or stalled and could not be resumed. */
  | { type: 'broken'; reason: string }
  | { type: 'cancelled' };

export type RequestEvent =
  | { type: 'requestArrived'; request: NewRequest }
  /** The caller closed the connection. */
  | { type: 'requestCancelled'; id: string }
  /** The first byte of the response was relayed. */
  | { type: 'attemptResponseStarted'; id: string; attempt: string }
  | { type: 'attemptEnded'; id: string; attempt: string; outcome: AttemptOutcome };

/** What the host needs to run one attempt and relay its response. */
export interface EngineAttemptSpec {
  id: string;
  attempt: string;
  engine: string;
  address: string;
  model: string;
  priority: number;
  /** Monotonic ms by which the response must be complete. */
  deadline: number;
  loadStallMs: number;
}

export type RequestEffect =
  | { type: 'startAttempt'; spec: EngineAttemptSpec }
  | { type: 'cancelAttempt'; id: string; attempt: string; address: string }
  /** Sends a failure to the caller, or ends a response that has begun. */
  | { type: 'failRequest'; id: string; failure: Failure }
  /** The whole response was relayed. */
  | { type: 'finishRequest'; id: string };

export type RequestTimer =
  | { type: 'requestDeadline'; id: string }
  | { type: 'requestRetry'; id: string }
  /** The probe after attempt number `attempts` timed out. */
  | { type: 'crashCheckTimeout'; id: string; attempts: number }
  /** The owner did not answer a grant request in time. */
  | { type: 'grantRequestTimeout'; id: string; grantRequestNumber: number };
