import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import {
  getFailureReason,
  type ObjectAnswer,
  type RowWrite,
  type TableAnswer,
} from '../core/store.ts';
import { Failure } from '../errors/failure.ts';
import { DRAFT_PREFIX, STATE_INDEX_PREFIX, LIST_PAGE_SIZE } from './constants.ts';
import { addOwnDraft, startReadyDrafts } from './draftQueue.ts';
import {
  getDraftKey,
  getHostIndexKey,
  getStateIndexKey,
  getDraftSummary,
  newDraftRead,
  newDraftWrites,
} from './draftRows.ts';
import {
  type DraftCommand,
  type DraftListAnswer,
  type DraftReadAnswer,
  DraftRow,
  type DraftState,
  type DraftSummary,
} from './types.ts';

type DraftOperation = 'read' | 'delete' | 'retry';

/** Reads the row of a draft that is to be read, deleted or retried. */
export function startDraftCommand(command: DraftCommand, operation: DraftOperation): Effect[] {
  const { id, draft, firm, caller } = command;
  return [
    newDraftRead(draft, {
      type: 'readAskedDraft',
      command: { id, draft, firm, caller },
      operation,
    }),
  ];
}

/** Executes a command on the row that was read. */
export function executeDraftCommand(
  state: State,
  command: DraftCommand,
  operation: DraftOperation,
  answer: TableAnswer,
): Effect[] {
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  if (stored === undefined && answer.type !== 'missing') {
    const message = `draft ${command.draft} could not be read: ${getFailureReason(answer)}`;
    return [newFailureAnswer(command, Failure.create('store_unavailable', message))];
  }
  const row = DraftRow.safeParse(stored?.value);
  // Callers of one firm cannot learn whether a draft of another firm exists.
  if (stored === undefined || !row.success || (command.firm ?? row.data.firm) !== row.data.firm) {
    return [
      newFailureAnswer(
        command,
        Failure.create('not_found', `draft ${command.draft} does not exist`),
      ),
    ];
  }
  if (operation === 'read') return answerWithDraft(state, command, row.data);
  return operation === 'delete'
    ? deleteDraft(command, row.data, stored.version)
    : retryDraft(state, command, row.data, stored.version);
}

/**
 * Answers a delete or retry after its write. A deleted draft's objects are deleted too; a retried
 * draft is queued on this host.
 */
export function handleDraftChangeAnswer(
  state: State,
  command: DraftCommand,
  row: DraftRow,
  operation: 'delete' | 'retry',
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type !== 'ok') {
    const outcome = answer.type === 'unknown' ? 'unknown' : 'not_run';
    const reason =
      answer.type === 'conflict' ? 'it changed in the meantime' : getFailureReason(answer);
    const message = `the ${operation} of draft ${row.id} is not confirmed: ${reason}`;
    return [newFailureAnswer(command, Failure.create('store_unavailable', message, { outcome }))];
  }
  if (operation === 'delete') {
    const objects = [row.body, row.result].flatMap((text) =>
      text?.type === 'object' ? [text.key] : [],
    );
    const deletes = objects.map((key): Effect => ({
      type: 'callObjects',
      call: { type: 'delete', key },
      purpose: { type: 'deleteDraftObject' },
    }));
    return [newAnswer(command.id, { type: 'deleted' }), ...deletes];
  }
  addOwnDraft(state, row.id);
  return [newAnswer(command.id, { type: 'queued' }), ...startReadyDrafts(state, now)];
}

/** Answers a read of a draft whose result is in the object store. */
export function answerWithLargeResult(
  id: string,
  draft: DraftSummary,
  answer: ObjectAnswer,
): Effect[] {
  if (answer.type === 'ok') return [newAnswer(id, { type: 'found', draft, result: answer.body })];
  const failure = Failure.create(
    'store_unavailable',
    `the result of draft ${draft.id} could not be read: ${getFailureReason(answer)}`,
  );
  return [newAnswer(id, { type: 'failed', failure })];
}

/** Scans one page of drafts; failed and poison drafts by the index of their state. */
export function scanDraftList(id: string, state: DraftState, after: string): Effect[] {
  const isIndexed = state === 'failed' || state === 'poison';
  const prefix = isIndexed ? `${STATE_INDEX_PREFIX}${state}/` : DRAFT_PREFIX;
  return [
    {
      type: 'callTable',
      call: { type: 'scan', prefix, after, limit: LIST_PAGE_SIZE },
      purpose: { type: 'scanDraftList', id, state },
    },
  ];
}

/** Answers a list with the drafts of the scanned page that have the wanted state. */
export function answerDraftList(
  state: State,
  id: string,
  wanted: DraftState,
  answer: TableAnswer,
): Effect[] {
  if (answer.type !== 'ok') {
    const message = `the drafts could not be read: ${getFailureReason(answer)}`;
    const failure = Failure.create('store_unavailable', message);
    return [newListAnswer(id, { type: 'failed', failure })];
  }
  const drafts = answer.rows
    .flatMap(({ value }) => StoredSummary.safeParse(value).data ?? [])
    .map((draft) => ({ ...draft, state: getCurrentState(state, draft), failure: draft.failure }))
    .filter((draft) => draft.state === wanted);
  return [
    newListAnswer(id, { type: 'listed', drafts, next: answer.rows[LIST_PAGE_SIZE - 1]?.key }),
  ];
}

const StoredSummary = DraftRow.pick({
  id: true,
  firm: true,
  caller: true,
  adapter: true,
  version: true,
  state: true,
  attempts: true,
  failure: true,
});

/**
 * Returns the state of a draft; the table does not hold `running`, only the draft's host knows it.
 */
function getCurrentState(state: State, draft: { id: string; state: DraftState }): DraftState {
  const isRunning = state.drafts.active.has(draft.id) && draft.state === 'queued';
  return isRunning ? 'running' : draft.state;
}

function answerWithDraft(state: State, command: DraftCommand, row: DraftRow): Effect[] {
  const draft = { ...getDraftSummary(row), state: getCurrentState(state, row) };
  if (row.result?.type === 'object') {
    return [
      {
        type: 'callObjects',
        call: { type: 'get', key: row.result.key },
        purpose: { type: 'readDraftResult', id: command.id, draft },
      },
    ];
  }
  return [newAnswer(command.id, { type: 'found', draft, result: row.result?.text })];
}

function deleteDraft(command: DraftCommand, row: DraftRow, version: string): Effect[] {
  const any = { type: 'any' } as const;
  return newChangeEffects(command, row, 'delete', [
    { type: 'delete', key: getDraftKey(row.id), condition: { type: 'version', version } },
    { type: 'delete', key: getHostIndexKey(row.host, row.id), condition: any },
    { type: 'delete', key: getStateIndexKey(row.state, row.id), condition: any },
  ]);
}

function retryDraft(state: State, command: DraftCommand, row: DraftRow, version: string): Effect[] {
  if (row.state !== 'poison' && row.state !== 'failed') {
    const message = `draft ${row.id} is ${row.state}; only failed and poison drafts can be retried`;
    return [newFailureAnswer(command, Failure.create('bad_request', message))];
  }
  const { id: host, incarnation } = state.host;
  const next: DraftRow = {
    ...row,
    state: 'queued',
    attempts: 0,
    failure: undefined,
    host,
    incarnation,
    fence: row.fence + 1,
  };
  const writes = newDraftWrites(next, version);
  writes.push({
    type: 'delete',
    key: getStateIndexKey(row.state, row.id),
    condition: { type: 'any' },
  });
  return newChangeEffects(command, next, 'retry', writes);
}

function newChangeEffects(
  command: DraftCommand,
  row: DraftRow,
  operation: 'delete' | 'retry',
  writes: RowWrite[],
): Effect[] {
  const call = { type: 'write', writes } as const;
  return [
    { type: 'callTable', call, purpose: { type: 'changeAskedDraft', command, row, operation } },
  ];
}

function newAnswer(id: string, answer: DraftReadAnswer): Effect {
  return { type: 'answerDraftRead', id, answer };
}

function newFailureAnswer(command: DraftCommand, failure: Failure): Effect {
  return newAnswer(command.id, { type: 'failed', failure });
}

function newListAnswer(id: string, answer: DraftListAnswer): Effect {
  return { type: 'answerDraftList', id, answer };
}
