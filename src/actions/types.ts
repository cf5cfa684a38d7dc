import { z } from 'zod';
import type { RowWrite } from '../core/store.ts';
import type { Failure } from '../errors/failure.ts';

/** A call of a plain service; the host runtime keeps the body under the same id. */
export interface NewAction {
  id: string;
  firm: string;
  caller: string;
  service: string;
  method: string;
  path: string;
  /** `Idempotency-Key` of the caller. */
  idempotencyKey: string | undefined;
  bodyHash: string;
  /** Monotonic ms by which the answer must be there. */
  deadline: number;
}

/** Answer of a service; `body` is an opaque string that the host runtime encodes and decodes. */
export interface ServiceResponse {
  status: number;
  headers: Record<string, string>;
  body: string;
}

/** Row `action/FIRM/CALLER/SERVICE/KEY`. */
export const ActionRow = z.object({
  /** Identifies the claim. */
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
      /** Absent when the body is in the object store. */
      body: z.string().optional(),
      object: z.string().optional(),
    })
    .optional(),
  /** Retention hour at which the row ended. */
  endedHour: z.int().optional(),
});
export type ActionRow = z.infer<typeof ActionRow>;

/** How a claim ended and what its row has to say. */
export interface Settlement {
  state: 'done' | 'released' | 'unknown';
  answer: ServiceResponse | undefined;
  /** Whether the body of a large answer is in the object store. */
  isBodyStored: boolean;
  tries: number;
}

export type ActionPhase = 'claiming' | 'reading' | 'replaying' | 'sending' | 'settling';

/** A service call in progress on this host. */
export interface Action extends NewAction {
  phase: ActionPhase;
  isRepeatable: boolean;
  rowKey: string;
  claimToken: string;
  callHash: string;
  /** Version of the row that the next conditional write expects; undefined when there is none. */
  rowVersion: string | undefined;
  claimAttempts: number;
  /** Whether the answer to a claim was lost, so that the claim may be in force. */
  mayHoldClaim: boolean;
  /** Whether another claim with the same key is known to exist or to have existed. */
  hasCompetingClaim: boolean;
  endpoint: string;
  callAttempts: number;
  triedEndpoints: Set<string>;
  /** Whether a byte may have reached a service. */
  mayHaveRun: boolean;
  isAnswered: boolean;
  settlement: Settlement | undefined;
}

/** Progress of one pass that deletes rows past their retention. */
export interface RetentionSweep {
  /** Rows of the page that are not read yet. */
  pendingReads: number;
  writes: RowWrite[];
  isEndedPageFull: boolean;
}

/** State of the service calls of this host. */
export class Actions {
  /** Actions until they are answered and their claims settled. */
  readonly inFlight = new Map<string, Action>();
  /** Ids of the actions in flight that claim a key, by row key. */
  readonly idsByRowKey = new Map<string, string>();
  /** Calls in progress by endpoint. */
  readonly outstandingCalls = new Map<string, number>();
  /** Monotonic ms until which an endpoint is chosen last. */
  readonly backoffUntil = new Map<string, number>();
  /** Retention hour; it grows by one at most once an hour, so no wall clocks are compared. */
  retentionHour = -1;
  retentionHourSeenAt = -Infinity;
  retentionHourReadAt = -Infinity;
  sweep: RetentionSweep | undefined;
  nextSweepAt = -Infinity;
  /** Last key of the previous page of open claims; empty at the start of a pass. */
  openClaimCursor = '';

  private constructor() {}

  static create(): Actions {
    return new Actions();
  }
}

export type ServiceCallOutcome =
  /** No byte was written to the endpoint. */
  | { type: 'notSent' }
  | ({ type: 'answered' } & ServiceResponse)
  /** At least one byte may have been written, and there is no whole answer. */
  | { type: 'lost'; reason: string };

export type ActionAnswer =
  | ({ type: 'answered'; isReplay: boolean } & ServiceResponse)
  | { type: 'failed'; failure: Failure };

export type ActionEvent =
  | { type: 'actionArrived'; action: NewAction }
  /** Ends every `callService`, at the latest at the action's deadline. */
  | { type: 'serviceCallEnded'; id: string; answer: ServiceCallOutcome };

export type ActionEffect =
  /** A call that is not repeatable needs a connection that is new or proven alive. */
  | {
      type: 'callService';
      id: string;
      endpoint: string;
      address: string;
      isRepeatable: boolean;
      deadline: number;
    }
  | { type: 'answerAction'; id: string; answer: ActionAnswer };

export type ActionTimer =
  | { type: 'actionDeadline'; id: string }
  /** The caller waited long enough for its answer to be recorded. */
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
  /** `version` is that of the index entry. */
  | { type: 'readSwept'; index: string; version: string }
  | { type: 'writeSwept' };

export type ActionObjectPurpose =
  { type: 'storeAnswer'; id: string } | { type: 'readAnswer'; id: string; row: ActionRow };
