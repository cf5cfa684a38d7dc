import { z } from 'zod';
import type { RowWrite } from '../core/store.ts';
import type { Failure } from '../errors/failure.ts';
import { Name } from '../configuration/types.ts';

/** States of a draft; a `poison` draft failed too often or is quarantined. */
export const DraftState = z.enum(['queued', 'running', 'done', 'failed', 'poison']);
export type DraftState = z.infer<typeof DraftState>;

/** Asynchronous completion request: acknowledged once it is durable, run later. */
export interface NewDraft {
  id: string;
  firm: string;
  caller: string;
  /** Path of the request to the engine. */
  path: string;
  adapter: string;
  /** Undefined if the caller named no version of the adapter. */
  version: string | undefined;
  /** Hash of the normalized body. */
  bodyHash: string;
  maxTokens: number;
  /** Request body as JSON. */
  body: string;
}

/** Text in the row itself or, if it is large, in the object store. */
const StoredText = z.union([
  z.object({ type: z.literal('inline'), text: z.string() }),
  z.object({ type: z.literal('object'), key: z.string() }),
]);
export type StoredText = z.infer<typeof StoredText>;

/** Row `draft/ID` of the table. */
export const DraftRow = z.object({
  id: z.string(),
  firm: z.string(),
  caller: z.string(),
  path: z.string(),
  adapter: Name,
  version: Name,
  bodyHash: z.string(),
  maxTokens: z.int(),
  body: StoredText,
  /** `running` is never stored; only the host that runs the draft knows it. */
  state: DraftState.exclude(['running']),
  /** Failed attempts that may have run. */
  attempts: z.int().min(0),
  /** Grows with each change of host; results are written only under the current fence. */
  fence: z.int().min(1),
  host: Name,
  incarnation: z.int().min(0),
  /** `HOST/INCARNATION` that accepted the draft. */
  acceptedBy: z.string(),
  result: StoredText.optional(),
  failure: z.object({ kind: z.string(), message: z.string() }).optional(),
});
export type DraftRow = z.infer<typeof DraftRow>;

/**
 * Phase of a draft on its host: queued, reading its row and body, running, or recording its outcome.
 */
export type DraftPhase = 'queued' | 'reading' | 'running' | 'recording';

/** A draft that this host runs or will run. */
export interface OwnDraft {
  id: string;
  phase: DraftPhase;
  /** Set while the draft is active; rows of queued drafts are not kept in memory. */
  row: DraftRow | undefined;
  rowVersion: string;
  /** Row with the outcome of the attempt, until it is written. */
  pendingRow: DraftRow | undefined;
  /** Result to write to the object store before the row. */
  largeResult: string | undefined;
  /** Id of the last request of the draft. */
  requestId: string;
  /** Exponent of the next backoff: writes tried in a row, or failed attempts at the draft. */
  tries: number;
}

/** Drafts that one transaction accepts. */
export interface CommitBatch {
  id: number;
  drafts: string[];
  writes: RowWrite[];
  /** Whether the transaction may have been applied, because its answer was lost. */
  mayBeApplied: boolean;
  tries: number;
}

/** State of the drafts of this host. */
export class Drafts {
  /** Unfinished drafts of this host. */
  readonly own = new Map<string, OwnDraft>();
  /** Whether another scan of the drafts of this host is scheduled. */
  isOwnScanScheduled = false;
  /** Queued drafts that may start, in order. */
  readonly ready = new Set<string>();
  /** Drafts that are being read, run or recorded. */
  readonly active = new Set<string>();
  /** Drafts whose callers have no answer yet. */
  readonly unacknowledged = new Map<string, DraftRow>();
  /** Batch to which new drafts are added. */
  openBatch: CommitBatch | undefined;
  /** Batches whose transaction is not confirmed, by id. */
  readonly committingBatches = new Map<number, CommitBatch>();
  nextBatchId = 1;
  /** Part of the next request id, which makes the ids of requests unique. */
  nextRequestNumber = 1;
  /** Monotonic ms until which no draft starts, because the table service is unavailable. */
  pausedUntil = -Infinity;
  /**
   * Hosts with drafts that the previous sweep found without a membership entry or marked as gone.
   */
  previousGoneHosts = new Set<string>();
  /** The same hosts for the sweep in progress. */
  goneHosts = new Set<string>();
  /** Monotonic ms of the last takeover from each unreachable host. */
  readonly lastTakeoverAt = new Map<string, number>();

  private constructor() {}

  static create(): Drafts {
    return new Drafts();
  }
}

/** Part of a draft that callers and operators see. */
export interface DraftSummary {
  id: string;
  firm: string;
  caller: string;
  adapter: string;
  version: string;
  state: DraftState;
  attempts: number;
  failure: { kind: string; message: string } | undefined;
}

/** Answer to a read, delete or retry of a draft. */
export type DraftReadAnswer =
  | { type: 'found'; draft: DraftSummary; result: string | undefined }
  | { type: 'deleted' }
  | { type: 'queued' }
  | { type: 'failed'; failure: Failure };

/** Answer to a list of drafts; `next` is the key after which the next page starts. */
export type DraftListAnswer =
  | { type: 'listed'; drafts: DraftSummary[]; next: string | undefined }
  | { type: 'failed'; failure: Failure };

/** Read, delete or retry of one draft; `firm` is undefined for an operator. */
export interface DraftCommand {
  /** Identifies the command in its answer. */
  id: string;
  draft: string;
  firm: string | undefined;
  caller: string;
}

export type DraftEvent =
  | { type: 'draftArrived'; draft: NewDraft }
  /** The host sends it after the `finishRequest` of a draft's request. */
  | { type: 'draftResultCollected'; draft: string; body: string }
  | ({ type: 'draftReadRequested' } & DraftCommand)
  | ({ type: 'draftDeleteRequested' } & DraftCommand)
  | ({ type: 'draftRetryRequested' } & DraftCommand)
  /** `after` is the `next` of the previous page, or empty for the first page. */
  | { type: 'draftListRequested'; id: string; state: DraftState; after: string };

export type DraftEffect =
  | {
      type: 'answerDraft';
      id: string;
      answer: { type: 'accepted' } | { type: 'failed'; failure: Failure };
    }
  /**
   * Sent before request `id` of the draft is admitted: the host keeps the body and collects the
   * response.
   */
  | { type: 'prepareDraftRequest'; id: string; draft: string; path: string; body: string }
  /** The request of a draft failed: the host drops its body and response. */
  | { type: 'dropDraftRequest'; id: string }
  | { type: 'answerDraftRead'; id: string; answer: DraftReadAnswer }
  | { type: 'answerDraftList'; id: string; answer: DraftListAnswer };

export type DraftTimer =
  | { type: 'commitDrafts'; batch: number }
  | { type: 'retryBatch'; batch: number }
  | { type: 'draftAcceptTimeout'; draft: string }
  | { type: 'draftRetryDue'; draft: string }
  | { type: 'recordDraft'; draft: string }
  /**
   * Due at once: the request code reports a failure by this timer instead of calling a draft
   * handler.
   */
  | { type: 'draftRequestFailed'; id: string; draft: string; failure: Failure }
  | { type: 'sweepDrafts' }
  | { type: 'rescanOwnDrafts' }
  | { type: 'checkDraftHosts' }
  | { type: 'scanTakeoverPage'; host: string; after: string }
  | { type: 'startReadyDrafts' };

export type DraftTablePurpose =
  | { type: 'commitDrafts'; batch: number }
  | { type: 'readBatch'; batch: number }
  | { type: 'readDraftToRun'; draft: string }
  | { type: 'recordDraft'; draft: string }
  | { type: 'readRecordedDraft'; draft: string }
  | { type: 'scanDraftsOf'; host: string }
  /** `version` is that of the index entry. */
  | { type: 'readDraftOf'; host: string; draft: string; version: string }
  | { type: 'takeDraft'; draft: string }
  | { type: 'deleteDraftIndex' }
  | { type: 'findDraftHosts' }
  | { type: 'readAskedDraft'; command: DraftCommand; operation: 'read' | 'delete' | 'retry' }
  | {
      type: 'changeAskedDraft';
      command: DraftCommand;
      row: DraftRow;
      operation: 'delete' | 'retry';
    }
  | { type: 'scanDraftList'; id: string; state: DraftState };

export type DraftObjectPurpose =
  | { type: 'storeDraftBody'; draft: string }
  | { type: 'readDraftBody'; draft: string }
  | { type: 'storeDraftResult'; draft: string }
  | { type: 'readDraftResult'; id: string; draft: DraftSummary }
  | { type: 'deleteDraftObject' };
