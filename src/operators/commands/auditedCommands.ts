import { sha256 } from '../../base/hash.ts';
import { getActionAuditKey } from '../../configuration/keys.ts';
import type { Effect } from '../../core/effects.ts';
import type { TableAnswerHandlers } from '../../core/handlers.ts';
import type { State } from '../../core/state.ts';
import { startDraftCommand } from '../../drafts/draftCommands.ts';
import { Failure } from '../../errors/failure.ts';
import { clearSuspect } from '../../suspects/crashes.ts';
import { answerWithResult, answerWithFailure, type CommandHandler } from '../answer.ts';
import type { OperatorRequest, AuditEntry, OperatorCommand } from '../types.ts';

type Recorded = 'retryDraft' | 'deleteDraft' | 'clearSuspect';

const KEY_DIGITS = 8;

export const retryDraft: CommandHandler<'retryDraft'> = (state, ask, { draft }) =>
  record(state, ask, 'retry draft', draft);

export const deleteDraft: CommandHandler<'deleteDraft'> = (state, ask, { draft }) =>
  record(state, ask, 'delete draft', draft);

export const clearSuspectWithAudit: CommandHandler<'clearSuspect'> = (state, ask, command) => {
  const { fingerprint } = command;
  if (state.suspects.byFingerprint.has(fingerprint)) {
    return record(state, ask, 'clear suspect', fingerprint);
  }
  const message = `suspect "${fingerprint}" does not exist`;
  return answerWithFailure(state, ask, Failure.create('not_found', message));
};

export const auditedCommandAnswers: TableAnswerHandlers<'writeAudit'> = {
  writeAudit: (state, { requestId: id }, answer, { now }) => {
    const ask = state.operators.pendingRequests.get(id);
    if (ask === undefined) return [];
    if (answer.type !== 'ok') {
      const message =
        'the command could not be recorded in the audit trail and was not carried out';
      return answerWithFailure(state, ask, Failure.create('store_unavailable', message));
    }
    const { command } = ask;
    return isRecorded(command) ? carryOut(state, ask, command, now) : [];
  },
};

/** Writes the audit entry; the command is carried out once that is durable. */
function record(state: State, ask: OperatorRequest, action: string, subject: string): Effect[] {
  const { revision } = state.configuration;
  const { operator, atUnixMs } = ask;
  const id = sha256(`${state.host.id}/${ask.id}`).slice(0, KEY_DIGITS);
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
      purpose: { type: 'writeAudit', requestId: ask.id },
    },
  ];
}

type RecordedCommand = Extract<OperatorCommand, { type: Recorded }>;

function isRecorded(command: OperatorCommand): command is RecordedCommand {
  return Object.hasOwn(CARRY_OUT, command.type);
}

const CARRY_OUT: {
  [T in Recorded]: (
    state: State,
    ask: OperatorRequest,
    command: Extract<OperatorCommand, { type: T }>,
    now: number,
  ) => Effect[];
} = {
  // The answer comes as `answerDraftRead` with the id of the question.
  retryDraft: (state, ask, { draft }) => passToDrafts(state, ask, draft, 'retry'),
  deleteDraft: (state, ask, { draft }) => passToDrafts(state, ask, draft, 'delete'),
  clearSuspect: (state, ask, { fingerprint }, now) => [
    ...clearSuspect(state, fingerprint, now),
    ...answerWithResult(state, ask, { fingerprint }),
  ],
};

function carryOut(
  state: State,
  ask: OperatorRequest,
  command: RecordedCommand,
  now: number,
): Effect[] {
  const run = CARRY_OUT[command.type] as (
    state: State,
    ask: OperatorRequest,
    command: RecordedCommand,
    now: number,
  ) => Effect[];
  return run(state, ask, command, now);
}

function passToDrafts(
  state: State,
  ask: OperatorRequest,
  draft: string,
  action: 'retry' | 'delete',
): Effect[] {
  state.operators.pendingRequests.delete(ask.id);
  return startDraftCommand({ id: ask.id, draft, firm: undefined, caller: ask.operator }, action);
}
