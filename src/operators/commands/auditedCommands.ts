import { sha256 } from '../../base/hash.ts';
import { getActionAuditKey } from '../../configuration/keys.ts';
import type { Effect } from '../../core/effects.ts';
import type { TableAnswerHandlers } from '../../core/handlers.ts';
import { newLog } from '../../core/observations.ts';
import type { State } from '../../core/state.ts';
import { getFailureReason } from '../../core/store.ts';
import { startDraftCommand } from '../../drafts/draftCommands.ts';
import { Failure } from '../../errors/failure.ts';
import { clearSuspect } from '../../suspects/crashes.ts';
import { answerWithResult, answerWithFailure, type CommandHandler } from '../answer.ts';
import type { OperatorRequest, AuditEntry, OperatorCommand } from '../types.ts';

type AuditedCommandName = 'retryDraft' | 'deleteDraft' | 'clearSuspect';

const AUDIT_ID_DIGITS = 8;

/** Makes a draft run again after its attempts failed. */
export const retryDraft: CommandHandler<'retryDraft'> = (state, request, { draft }) =>
  writeAuditEntry(state, request, 'retry draft', draft);

/** Deletes a draft. */
export const deleteDraft: CommandHandler<'deleteDraft'> = (state, request, { draft }) =>
  writeAuditEntry(state, request, 'delete draft', draft);

/** Clears a suspect, so that its request may run again. */
export const clearSuspectWithAudit: CommandHandler<'clearSuspect'> = (state, request, command) => {
  const { attribute } = command;
  if (state.suspects.byAttribute.has(attribute)) {
    // A gateway has no table service; the log line is its audit entry.
    return state.policy.directory === undefined
      ? writeAuditEntry(state, request, 'clear suspect', attribute)
      : [
          newLog('warn', 'operator cleared a suspect', { operator: request.operator, attribute }),
          ...executeCommand(state, request, command, state.now),
        ];
  }
  const message = `suspect "${attribute}" does not exist`;
  return answerWithFailure(state, request, Failure.create('not_found', message));
};

/** Handlers of the answers to the writes of audit entries. */
export const auditedCommandAnswers: TableAnswerHandlers<'writeAudit'> = {
  writeAudit: (state, { requestId }, answer, { now }) => {
    const request = state.operators.pendingRequests.get(requestId);
    if (request === undefined) return [];
    if (answer.type !== 'ok') {
      const message = `the command was not executed because its audit entry could not be written: ${getFailureReason(answer)}`;
      return answerWithFailure(state, request, Failure.create('store_unavailable', message));
    }
    const { command } = request;
    return isAuditedCommand(command) ? executeCommand(state, request, command, now) : [];
  },
};

/** Writes the audit entry of a command. The command is executed only after the entry is durable. */
function writeAuditEntry(
  state: State,
  request: OperatorRequest,
  action: string,
  subject: string,
): Effect[] {
  const { revision } = state.configuration;
  const { operator, atUnixMs } = request;
  const id = sha256(`${state.host.id}/${request.id}`).slice(0, AUDIT_ID_DIGITS);
  const key = getActionAuditKey(revision, atUnixMs, id);
  const value: AuditEntry = {
    action,
    operator,
    atUnixMs,
    revision,
    lines: [`${action} ${subject}`],
  };
  const condition = { type: 'absent' } as const;
  return [
    {
      type: 'callTable',
      call: { type: 'write', writes: [{ type: 'put', key, value, condition }] },
      purpose: { type: 'writeAudit', requestId: request.id },
    },
  ];
}

type AuditedCommand = Extract<OperatorCommand, { type: AuditedCommandName }>;

function isAuditedCommand(command: OperatorCommand): command is AuditedCommand {
  return Object.hasOwn(EXECUTORS, command.type);
}

const EXECUTORS: {
  [T in AuditedCommandName]: (
    state: State,
    request: OperatorRequest,
    command: Extract<OperatorCommand, { type: T }>,
    now: number,
  ) => Effect[];
} = {
  // `startDraftCommand` answers with the effect `answerDraftRead` and the id of the request.
  retryDraft: (state, request, { draft }) => delegateDraftCommand(state, request, draft, 'retry'),
  deleteDraft: (state, request, { draft }) => delegateDraftCommand(state, request, draft, 'delete'),
  clearSuspect: (state, request, { attribute }, now) => [
    ...clearSuspect(state, attribute, now),
    ...answerWithResult(state, request, { attribute }),
  ],
};

function executeCommand(
  state: State,
  request: OperatorRequest,
  command: AuditedCommand,
  now: number,
): Effect[] {
  const run = EXECUTORS[command.type] as (
    state: State,
    request: OperatorRequest,
    command: AuditedCommand,
    now: number,
  ) => Effect[];
  return run(state, request, command, now);
}

function delegateDraftCommand(
  state: State,
  request: OperatorRequest,
  draft: string,
  action: 'retry' | 'delete',
): Effect[] {
  state.operators.pendingRequests.delete(request.id);
  return startDraftCommand(
    { id: request.id, draft, firm: undefined, caller: request.operator },
    action,
  );
}
