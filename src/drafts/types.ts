import { z } from 'zod';
import type { RowWrite } from '../core/store.ts';
import type { Failure } from '../errors/failure.ts';
import { Name } from '../configuration/types.ts';

export const DraftState = z.enum(['queued', 'running', 'done', 'failed', 'poison']);
export type DraftState = z.infer<typeof DraftState>;

/** A completion request that is acknowledged when it is durable. */
export interface NewDraft {
  id: string;
  firm: string;
  caller: string;
  /** Path of the completion, as in the request to the engine. */
  path: string;
  adapter: string;
  /** Absent when the caller named the bare adapter. */
  version: string | undefined;
  /** Hash of the normalized body. */
  bodyHash: string;
  maxTokens: number;
  /** JSON of the request. */
  body: string;
}

/** Text that is either in the row or in the object store. */
const StoredText = z.union([
  z.object({ type: z.literal('inline'), text: z.string() }),
  z.object({ type: z.literal('object'), key: z.string() }),
]);
export type StoredText = z.infer<typeof StoredText>;

/** Row `draft/ID`. */
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
  /** `running` is known to the host that runs the draft only and is never stored. */
  state: DraftState.exclude(['running']),
  /** Attempts that failed and may have run. */
  attempts: z.int().min(0),
  /** Grows with each change of the host; results are written under the current one only. */
  fence: z.int().min(1),
  host: Name,
  incarnation: z.int().min(0),
  /** `host/incarnation` that accepted the draft. */
  acceptedBy: z.string(),
  result: StoredText.optional(),
  failure: z.object({ kind: z.string(), message: z.string() }).optional(),
});
export type DraftRow = z.infer<typeof DraftRow>;

export type DraftPhase = 'queued' | 'reading' | 'running' | 'recording';

/** A draft that this host runs or will run. */
export interface OwnDraft {
  id: string;
  phase: DraftPhase;
  /** Row and its version while the draft is active; a waiting draft stays out of memory. */
  row: DraftRow | undefined;
  rowVersion: string;
  /** Row to write, and a result that has to go to the object store first. */
  pendingRow: DraftRow | undefined;
  largeResult: string | undefined;
  /** Id of the request that runs now. */
  requestId: string;
  /** Tries since the last success, for the backoff. */
  tries: number;
}

/** Drafts that are accepted with one transaction. */
export interface CommitBatch {
  id: number;
  drafts: string[];
  writes: RowWrite[];
  /** Whether an answer was lost, so that the transaction may have been applied. */
  mayBeApplied: boolean;
  tries: number;
}

/** State of the drafts of this host. */
export class Drafts {
  /** Drafts of this host that have not ended. */
  readonly own = new Map<string, OwnDraft>();
  /** Drafts of this host that may start, in order. */
  readonly ready = new Set<string>();
  /** Drafts that are read, run or recorded now. */
  readonly active = new Set<string>();
  /** Drafts on arrival whose caller has no answer yet. */
  readonly unacknowledged = new Map<string, DraftRow>();
  /** Batch that still takes drafts. */
  openBatch: CommitBatch | undefined;
  readonly committingBatches = new Map<number, CommitBatch>();
  nextBatchId = 1;
  /** Number of the next request; ids of requests are never used twice. */
  nextRequestNumber = 1;
  /** Monotonic ms until which no draft starts because the table did not answer. */
  pausedUntil = -Infinity;
  /** Hosts without a membership entry at the last sweep. */
  previousGoneHosts = new Set<string>();
  goneHosts = new Set<string>();
  /** Monotonic ms at which drafts of a silent host were taken over last. */
  readonly lastTakeoverAt = new Map<string, number>();

  private constructor() {}

  static create(): Drafts {
    return new Drafts();
  }
}

/** What a caller or operator sees of a draft. */
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

export type DraftReadAnswer =
  | { type: 'found'; draft: DraftSummary; result: string | undefined }
  | { type: 'deleted' }
  | { type: 'queued' }
  | { type: 'failed'; failure: Failure };

export type DraftListAnswer =
  | { type: 'listed'; drafts: DraftSummary[]; next: string | undefined }
  | { type: 'failed'; failure: Failure };

/** A question about one draft; `firm` is undefined for an operator. */
export interface DraftCommand {
  /** Identifies the question in its answer. */
  id: string;
  draft: string;
  firm: string | undefined;
  caller: string;
}

export type DraftEvent =
  | { type: 'draftArrived'; draft: NewDraft }
  /** Follows `finishRequest` of a draft's request. */
  | { type: 'draftResultCollected'; draft: string; body: string }
  | ({ type: 'draftReadRequested' } & DraftCommand)
  | ({ type: 'draftDeleteRequested' } & DraftCommand)
  | ({ type: 'draftRetryRequested' } & DraftCommand)
  /** `after` is the `next` of the page before, or empty. */
  | { type: 'draftListRequested'; id: string; state: DraftState; after: string };

export type DraftEffect =
  | {
      type: 'answerDraft';
      id: string;
      answer: { type: 'accepted' } | { type: 'failed'; failure: Failure };
    }
  /** Precedes the request `id` of the draft: the host keeps the body and collects the answer. */
  | { type: 'prepareDraftRequest'; id: string; draft: string; path: string; body: string }
  /** The request of a draft ended without an answer: the host drops what it kept. */
  | { type: 'dropDraftRequest'; id: string }
  | { type: 'answerDraftRead'; id: string; answer: DraftReadAnswer }
  | { type: 'answerDraftList'; id: string; answer: DraftListAnswer };

export type DraftTimer =
  | { type: 'commitDrafts'; batch: number }
  | { type: 'retryBatch'; batch: number }
  | { type: 'draftAcceptTimeout'; draft: string }
  | { type: 'draftRetryDue'; draft: string }
  | { type: 'recordDraft'; draft: string }
  /** Due at once; lets the end of a request reach this domain without a call between handlers. */
  | { type: 'draftRequestFailed'; id: string; draft: string; failure: Failure }
  | { type: 'sweepDrafts' }
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
  | { type: 'readAskedDraft'; ask: DraftCommand; operation: 'read' | 'delete' | 'retry' }
  | { type: 'changeAskedDraft'; ask: DraftCommand; row: DraftRow; operation: 'delete' | 'retry' }
  | { type: 'scanDraftList'; id: string; state: DraftState };

export type DraftObjectPurpose =
  | { type: 'storeDraftBody'; draft: string }
  | { type: 'readDraftBody'; draft: string }
  | { type: 'storeDraftResult'; draft: string }
  | { type: 'readDraftResult'; id: string; draft: DraftSummary }
  | { type: 'deleteDraftObject' };
