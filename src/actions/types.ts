import { z } from 'zod';
import type { RowWrite } from '../core/store.ts';
import type { Failure } from '../errors/failure.ts';

/** Call to a service other than a model engine; the host runtime keeps its body under the same id. */
export interface NewAction {
  id: string;
  firm: string;
  caller: string;
  service: string;
  method: string;
  path: string;
  /** Header `Idempotency-Key` of the call. */
  idempotencyKey: string | undefined;
  bodyHash: string;
  /** Monotonic ms by which the call must be answered. */
  deadline: number;
}

/** Response of a service; the host runtime encodes and decodes `body`, which is opaque here. */
export interface ServiceResponse {
  status: number;
  headers: Record<string, string>;
  body: string;
}

/** Row `action/FIRM/CALLER/SERVICE/KEY` of the table. */
export const ActionRow = z.object({
  /** Identifies the claim that wrote the row. */
  token: z.string(),
  /** Hash of method, path and body. */
  bodyHash: z.string(),
  host: z.string(),
  incarnation: z.int().min(0),
  state: z.enum(['claimed', 'done', 'released', 'unknown']),
  answer: z
    .object({
      status: z.int(),
      headers: z.record(z.string(), z.string()),
      /** Absent if the body is in the object store under the key `object`. */
      body: z.string().optional(),
      object: z.string().optional(),
    })
    .optional(),
  /** Retention hour in which the claim ended; absent while it is open. */
  endedHour: z.int().optional(),
});
export type ActionRow = z.infer<typeof ActionRow>;

/** How a claim ended, as it is recorded in the row. */
export interface Settlement {
  state: 'done' | 'released' | 'unknown';
  answer: ServiceResponse | undefined;
  /** Whether a large response body is in the object store. */
  isBodyStored: boolean;
  /** Writes tried so far, the exponent of the backoff. */
  tries: number;
}

/**
 * What an action waits for: its claim, a read of its row, a stored response, the service, the
 * settlement.
 */
export type ActionPhase = 'claiming' | 'reading' | 'replaying' | 'sending' | 'settling';

/** Service call in flight on this host. */
export interface Action extends NewAction {
  phase: ActionPhase;
  isRepeatable: boolean;
  rowKey: string;
  claimToken: string;
  callHash: string;
  /** Version of the row that the next conditional write expects; undefined if the row is absent. */
  rowVersion: string | undefined;
  claimAttempts: number;
  /** Whether the claim may be in force: it was confirmed, or its answer was lost. */
  mayHoldClaim: boolean;
  /** Whether the table shows or showed another claim of the same key. */
  hasCompetingClaim: boolean;
  endpoint: string;
  callAttempts: number;
  triedEndpoints: Set<string>;
  /** Whether an endpoint may have received the call. */
  mayHaveRun: boolean;
  isAnswered: boolean;
  settlement: Settlement | undefined;
}

/** Progress of one sweep, which ends abandoned claims and deletes rows past their retention. */
export interface RetentionSweep {
  /** Rows that are still being read. */
  pendingReads: number;
  writes: RowWrite[];
  /** Whether a full page of ended claims was past retention, so that more may be. */
  isEndedPageFull: boolean;
}

/** State of the service calls of this host. */
export class Actions {
  /** Actions that are not answered, or whose claims are not settled, by id. */
  readonly inFlight = new Map<string, Action>();
  /** Ids of the actions in flight with an idempotency key, by row key. */
  readonly idsByRowKey = new Map<string, string>();
  /** Calls in flight by endpoint. */
  readonly outstandingCalls = new Map<string, number>();
  /** Monotonic ms until which an endpoint is chosen last. */
  readonly backoffUntil = new Map<string, number>();
  /**
   * Logical clock of the table, raised by one at most once an hour; no wall clocks are compared.
   * -1 until it is read.
   */
  retentionHour = -1;
  /** Monotonic ms at which this host first read the current retention hour. */
  retentionHourSeenAt = -Infinity;
  /** Monotonic ms at which the last successful read was sent. */
  retentionHourReadAt = -Infinity;
  sweep: RetentionSweep | undefined;
  nextSweepAt = -Infinity;
  /**
   * Last key of the previous page of open claims; empty if the next scan starts at the first key.
   */
  openClaimCursor = '';

  private constructor() {}

  static create(): Actions {
    return new Actions();
  }
}

/** How one call to an endpoint ended. */
export type ServiceCallOutcome =
  /** No byte was written to the endpoint. */
  | { type: 'notSent' }
  | ({ type: 'answered' } & ServiceResponse)
  /** At least one byte may have been written, and no complete response arrived. */
  | { type: 'lost'; reason: string };

/** Answer to the caller; `isReplay` is set if an earlier call recorded the response. */
export type ActionAnswer =
  | ({ type: 'answered'; isReplay: boolean } & ServiceResponse)
  | { type: 'failed'; failure: Failure };

export type ActionEvent =
  | { type: 'actionArrived'; action: NewAction }
  /** Follows every `callService`, at the latest at the action's deadline; ignored once it is cancelled. */
  | { type: 'serviceCallEnded'; id: string; answer: ServiceCallOutcome }
  /** The caller closed its connection. */
  | { type: 'actionCancelled'; id: string };

export type ActionEffect =
  /** A call that is not repeatable requires a connection that is new or known to be alive. */
  | {
      type: 'callService';
      id: string;
      endpoint: string;
      address: string;
      isRepeatable: boolean;
      deadline: number;
    }
  /** Closes the connection of a call, which nobody waits for any more. */
  | { type: 'cancelServiceCall'; id: string }
  | { type: 'answerAction'; id: string; answer: ActionAnswer };

export type ActionTimer =
  | { type: 'actionDeadline'; id: string }
  /** Due `RECORD_TIMEOUT_MS` after the start of a settlement with a response. */
  | { type: 'actionRecordTimeout'; id: string }
  | { type: 'settleAction'; id: string }
  | { type: 'pollRetentionHour' }
  | { type: 'sweepActions' };

export type ActionTablePurpose =
  | { type: 'claimAction'; id: string }
  | { type: 'readClaim'; id: string }
  | { type: 'settleAction'; id: string }
  | { type: 'readSettlement'; id: string }
  | { type: 'readHour' }
  | { type: 'raiseHour'; hour: number }
  | { type: 'scanEndedActions' }
  | { type: 'scanOpenActions' }
  /** `version` is the version of the index entry. */
  | { type: 'readSwept'; index: string; version: string }
  | { type: 'writeSwept' };

export type ActionObjectPurpose =
  { type: 'storeAnswer'; id: string } | { type: 'readAnswer'; id: string; row: ActionRow };
