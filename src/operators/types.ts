import { z } from 'zod';
import type { Intent } from '../configuration/intent.ts';
import type { Plan } from '../configuration/plan.ts';
import type { DraftState } from '../drafts/types.ts';
import type { Failure } from '../errors/failure.ts';

/** What an operator asks a host to do. */
export type OperatorCommand =
  | { type: 'showConfiguration' }
  | { type: 'makePlan'; intent: Intent }
  | { type: 'showPlan'; plan: string }
  | { type: 'confirmPlan'; plan: string }
  /** Entries after the key `after`; without it, the newest ones. */
  | { type: 'listAudit'; after: string | undefined; limit: number }
  | { type: 'listHosts' }
  | { type: 'listEngines' }
  /** Drafts after the key `after`, which is empty for the first page. */
  | { type: 'listDrafts'; state: DraftState; after: string }
  | { type: 'retryDraft'; draft: string }
  | { type: 'deleteDraft'; draft: string }
  | { type: 'listSuspects' }
  | { type: 'clearSuspect'; fingerprint: string };

/** A command of an operator. */
export interface OperatorRequestEvent {
  type: 'operatorCommandReceived';
  /** Identifies the question in `answerOperator`. */
  id: string;
  /** Name of the operator's key. */
  operator: string;
  command: OperatorCommand;
  /** Unix ms by the clock of the host; only recorded, never compared. */
  atUnixMs: number;
}

export type OperatorAnswer =
  | { type: 'done'; status: 200 | 201; body: unknown }
  | { type: 'refused'; failure: Failure; details: string[] };

/** The answer to a command of an operator. */
export interface OperatorEffect {
  type: 'answerOperator';
  id: string;
  answer: OperatorAnswer;
}

/** A question that waits for the table service. */
export interface OperatorRequest extends Omit<OperatorRequestEvent, 'type'> {
  /** Monotonic ms. */
  receivedAt: number;
  confirm: ConfirmProgress | undefined;
}

/** A confirmation whose outcome is not known yet. */
export interface ConfirmProgress {
  plan: Plan;
  /** Whether a write was sent whose answer was lost. */
  mayBeWritten: boolean;
}

export type OperatorPurpose =
  | { type: 'writePlan'; requestId: string; plan: Plan }
  | { type: 'readPlan'; requestId: string }
  | { type: 'readAudit'; requestId: string }
  /** Records a command before it is carried out. */
  | { type: 'writeAudit'; requestId: string }
  /** Steps of a confirm, in their order. */
  | { type: 'confirmReadPlan'; requestId: string }
  | { type: 'confirmReadHead'; requestId: string }
  | { type: 'confirmWrite'; requestId: string }
  | { type: 'confirmReadRevision'; requestId: string }
  | { type: 'confirmReadSince'; requestId: string };

/** The next try of a confirmation. */
export interface OperatorTimer {
  type: 'retryConfirm';
  requestId: string;
}

/** Row `audit/...`: what an operator changed. */
export const AuditEntry = z.object({
  action: z.string(),
  operator: z.string(),
  atUnixMs: z.int(),
  /** Revision that the action made, or that was in force. */
  revision: z.int().min(0),
  /** Plan that was confirmed. */
  plan: z.string().optional(),
  /** What was changed, in words. */
  lines: z.array(z.string()),
});
export type AuditEntry = z.infer<typeof AuditEntry>;

/** Commands of operators that wait for the table service. */
export class Operators {
  /** Questions without an answer, by id. */
  readonly pendingRequests = new Map<string, OperatorRequest>();

  private constructor() {}

  static create(): Operators {
    return new Operators();
  }
}
