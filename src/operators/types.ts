import { z } from 'zod';
import type { Intent } from '../configuration/intent.ts';
import type { Plan } from '../configuration/plan.ts';
import type { DraftState } from '../drafts/types.ts';
import type { Failure } from '../errors/failure.ts';

/** Commands of operators to a host. */
export type OperatorCommand =
  | { type: 'showConfiguration' }
  | { type: 'makePlan'; intent: Intent }
  | { type: 'showPlan'; plan: string }
  | { type: 'confirmPlan'; plan: string }
  /** Lists entries after the key `after`, or the newest entries without it. */
  | { type: 'listAudit'; after: string | undefined; limit: number }
  | { type: 'listHosts' }
  | { type: 'listEngines' }
  /** Lists drafts after the key `after`, which is empty for the first page. */
  | { type: 'listDrafts'; state: DraftState; after: string }
  | { type: 'retryDraft'; draft: string }
  | { type: 'deleteDraft'; draft: string }
  | { type: 'listSuspects' }
  | { type: 'clearSuspect'; attribute: string };

/** Event: an operator sent a command. */
export interface OperatorRequestEvent {
  type: 'operatorCommandReceived';
  /** Identifies the request in `answerOperator`. */
  id: string;
  /** Name of the operator's key. */
  operator: string;
  command: OperatorCommand;
  /** Unix ms by the clock of the host; recorded, but never used in decisions. */
  atUnixMs: number;
}

/** Result of a command. */
export type OperatorAnswer =
  | { type: 'done'; status: 200 | 201; body: unknown }
  | { type: 'refused'; failure: Failure; details: string[] };

/** Effect: sends the answer to an operator. */
export interface OperatorEffect {
  type: 'answerOperator';
  id: string;
  answer: OperatorAnswer;
}

/** A command that waits for the table service. */
export interface OperatorRequest extends Omit<OperatorRequestEvent, 'type'> {
  /** Monotonic ms of the arrival of the command. */
  receivedAt: number;
  confirmProgress: ConfirmProgress | undefined;
}

/** A confirm whose outcome is not known yet. */
export interface ConfirmProgress {
  plan: Plan;
  /** Whether the answer of a write was lost, so that the plan may be in force. */
  mayBeWritten: boolean;
}

/** Purposes of calls to the table service for operators. */
export type OperatorPurpose =
  | { type: 'writePlan'; requestId: string; plan: Plan }
  | { type: 'readPlan'; requestId: string }
  | { type: 'readAudit'; requestId: string }
  /** Writes the audit entry of a command before the command is executed. */
  | { type: 'writeAudit'; requestId: string }
  /** Steps of a confirm, in order. */
  | { type: 'confirmReadPlan'; requestId: string }
  | { type: 'confirmReadHead'; requestId: string }
  | { type: 'confirmWrite'; requestId: string }
  | { type: 'confirmReadRevision'; requestId: string }
  | { type: 'confirmReadSince'; requestId: string };

/** Timer of the next attempt of a confirm. */
export interface OperatorTimer {
  type: 'retryConfirm';
  requestId: string;
}

/** Row `audit/...`: a change made by an operator. */
export const AuditEntry = z.object({
  action: z.string(),
  operator: z.string(),
  atUnixMs: z.int(),
  /** Revision that the action created, or that was in force. */
  revision: z.int().min(0),
  /** Id of the confirmed plan, if the action is a confirm. */
  plan: z.string().optional(),
  /** Descriptions of the changes. */
  lines: z.array(z.string()),
});
export type AuditEntry = z.infer<typeof AuditEntry>;

/** Operators' commands on this host that wait for the table service. */
export class Operators {
  /** Unanswered commands by id. */
  readonly pendingRequests = new Map<string, OperatorRequest>();

  private constructor() {}

  static create(): Operators {
    return new Operators();
  }
}
