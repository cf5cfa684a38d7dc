import type { Failure } from '../errors/failure.ts';
import type { RefusalReason } from '../grants/types.ts';
import { RetryBudget } from './retryBudget.ts';

export type RequestKind = 'urgent' | 'ordinary' | 'draft';

/** A parsed request for the model, as the callers' server or a draft hands it to the reducer. */
export interface NewRequest {
  id: string;
  firm: string;
  caller: string;
  kind: RequestKind;
  adapter: string;
  /** Absent when the caller named the bare adapter. */
  version: string | undefined;
  /** Monotonic ms by which the answer must be complete. */
  deadline: number;
  /** Hash of the normalized body on arrival; of adapter, version and body once admitted. */
  fingerprint: string;
  maxTokens: number;
  /** Draft that the request runs for. */
  draft: string | undefined;
}

export type RequestPhase = 'awaitingOwner' | 'running' | 'verifying' | 'backoff';

/** One run of a request on an engine, under a grant. */
export interface Attempt {
  id: string;
  engine: string;
  owner: string;
  grant: string;
  /** Ownership epoch of the grant. */
  epoch: number;
  /** Boot id of the engine as its owner knew it; empty when it had no report. */
  bootId: string;
  /** Whether a byte of the answer was passed on. */
  hasResponseStarted: boolean;
}

/** A request in flight on its receiving host. */
export interface Request extends NewRequest {
  /** Resolved once on arrival. */
  version: string;
  /** `adapter@version` */
  model: string;
  /** 0 (first) to 9 (last), from the callers' order. */
  priority: number;
  arrivedAt: number;
  phase: RequestPhase;
  /** Identifies the current ask, so that an answer to an older one is ignored. */
  grantRequestNumber: number;
  pendingGrant: { engine: string; owner: string } | undefined;
  attempt: Attempt | undefined;
  attempts: number;
  /** Engine whose crash is being checked, and the failure that follows unless it is retried. */
  crashCheck: { engine: string; failure: Failure | undefined } | undefined;
  /** Engines that failed this request. */
  excluded: Set<string>;
  /** Refusals by hosts that did not own the engine any more. */
  ownerChanges: number;
  /** Owners to which a link was opened for this request. */
  linkedOwners: Set<string>;
  loadStallMs: number;
  /** Whether the row of its suspect was read because the crash was out of reach. */
  hasReadSuspectRow: boolean;
  /** Whether an attempt ended without proof that nothing ran. */
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
  /** The engine refused the request; `status` is its HTTP status. */
  | { type: 'refused'; status: number; message: string }
  /** The engine reported another adapter or version. */
  | { type: 'wrongAdapter'; reported: string }
  /** No connection could be opened; nothing ran. */
  | { type: 'unreachable' }
  /** The connection broke or made no progress, and could not be resumed. */
  | { type: 'broken'; reason: string }
  | { type: 'cancelled' };

export type RequestEvent =
  | { type: 'requestArrived'; request: NewRequest }
  /** The caller closed the connection. */
  | { type: 'requestCancelled'; id: string }
  /** The first byte of the answer was passed on. */
  | { type: 'attemptResponseStarted'; id: string; attempt: string }
  | { type: 'attemptEnded'; id: string; attempt: string; outcome: AttemptOutcome };

/** What the host needs to relay one attempt. */
export interface EngineAttemptSpec {
  id: string;
  attempt: string;
  engine: string;
  address: string;
  model: string;
  priority: number;
  /** Monotonic ms by which the answer must be complete. */
  deadline: number;
  loadStallMs: number;
}

export type RequestEffect =
  | { type: 'startAttempt'; spec: EngineAttemptSpec }
  | { type: 'cancelAttempt'; id: string; attempt: string; address: string }
  /** Ends the caller's answer with a failure. */
  | { type: 'failRequest'; id: string; failure: Failure }
  /** The answer was passed on whole. */
  | { type: 'finishRequest'; id: string };

export type RequestTimer =
  | { type: 'requestDeadline'; id: string }
  | { type: 'requestRetry'; id: string }
  /** The probe after attempt number `attempts` took too long. */
  | { type: 'crashCheckTimeout'; id: string; attempts: number }
  /** The owner did not answer an ask. */
  | { type: 'grantRequestTimeout'; id: string; ask: number };
