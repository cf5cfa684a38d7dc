import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { ObjectAnswer, RowWrite, TableAnswer } from '../core/store.ts';
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

type Action = 'read' | 'delete' | 'retry';

/** Reads the row of a draft in order to show, delete or retry it. */
export function startDraftCommand(ask: DraftCommand, action: Action): Effect[] {
  const { id, draft, firm, caller } = ask;
  return [
    newDraftRead(draft, {
      type: 'readAskedDraft',
      ask: { id, draft, firm, caller },
      operation: action,
    }),
  ];
}

/** Continues with the row of a draft that was asked for. */
export function executeDraftCommand(
  state: State,
  ask: DraftCommand,
  action: Action,
  answer: TableAnswer,
): Effect[] {
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  if (stored === undefined && answer.type !== 'missing') {
    const message = `draft ${ask.draft} cannot be read now`;
    return [newFailed(ask, Failure.create('store_unavailable', message))];
  }
  const row = DraftRow.safeParse(stored?.value);
  // A draft of the other firm looks like one that does not exist.
  if (stored === undefined || !row.success || (ask.firm ?? row.data.firm) !== row.data.firm) {
    return [newFailed(ask, Failure.create('not_found', `draft ${ask.draft} does not exist`))];
  }
  if (action === 'read') return showDraft(state, ask, row.data);
  return action === 'delete'
    ? deleteDraft(ask, row.data, stored.version)
    : retryDraft(state, ask, row.data, stored.version);
}

/** Continues after a delete or retry was written. */
export function handleDraftChangeAnswer(
  state: State,
  ask: DraftCommand,
  row: DraftRow,
  action: 'delete' | 'retry',
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type !== 'ok') {
    const outcome = answer.type === 'unknown' ? 'unknown' : 'not_run';
    const message = `draft ${row.id} changed meanwhile or the table service is down`;
    return [newFailed(ask, Failure.create('store_unavailable', message, { outcome }))];
  }
  if (action === 'delete') {
    const objects = [row.body, row.result].flatMap((text) =>
      text?.type === 'object' ? [text.key] : [],
    );
    const deletes = objects.map((key): Effect => ({
      type: 'callObjects',
      call: { type: 'delete', key },
      purpose: { type: 'deleteDraftObject' },
    }));
    return [newAnswer(ask.id, { type: 'deleted' }), ...deletes];
  }
  addOwnDraft(state, row.id);
  return [newAnswer(ask.id, { type: 'queued' }), ...startReadyDrafts(state, now)];
}

/** Answers a read with a large result. */
export function answerWithLargeResult(
  id: string,
  draft: DraftSummary,
  answer: ObjectAnswer,
): Effect[] {
  if (answer.type === 'ok') return [newAnswer(id, { type: 'found', draft, result: answer.body })];
  const failure = Failure.create(
    'store_unavailable',
    `the result of draft ${draft.id} cannot be read now`,
  );
  return [newAnswer(id, { type: 'failed', failure })];
}

/** Reads a page of drafts by state. */
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

/** Answers a list with the drafts of the page that are in the state. */
export function answerDraftList(
  state: State,
  id: string,
  wanted: DraftState,
  answer: TableAnswer,
): Effect[] {
  if (answer.type !== 'ok') {
    const failure = Failure.create('store_unavailable', 'the drafts cannot be read now');
    return [newListAnswer(id, { type: 'failed', failure })];
  }
  const drafts = answer.rows
    .flatMap(({ value }) => Summary.safeParse(value).data ?? [])
    .map((draft) => ({ ...draft, state: getState(state, draft), failure: draft.failure }))
    .filter((draft) => draft.state === wanted);
  return [
    newListAnswer(id, { type: 'listed', drafts, next: answer.rows[LIST_PAGE_SIZE - 1]?.key }),
  ];
}

const Summary = DraftRow.pick({
  id: true,
  firm: true,
  caller: true,
  adapter: true,
  version: true,
  state: true,
  attempts: true,
  failure: true,
});

/** A draft that runs is known to its host only. */
function getState(state: State, draft: { id: string; state: DraftState }): DraftState {
  const isRunning = state.drafts.active.has(draft.id) && draft.state === 'queued';
  return isRunning ? 'running' : draft.state;
}

function showDraft(state: State, ask: DraftCommand, row: DraftRow): Effect[] {
  const draft = { ...getDraftSummary(row), state: getState(state, row) };
  if (row.result?.type === 'object') {
    return [
      {
        type: 'callObjects',
        call: { type: 'get', key: row.result.key },
        purpose: { type: 'readDraftResult', id: ask.id, draft },
      },
    ];
  }
  return [newAnswer(ask.id, { type: 'found', draft, result: row.result?.text })];
}

function deleteDraft(ask: DraftCommand, row: DraftRow, version: string): Effect[] {
  const any = { type: 'any' } as const;
  return newChange(ask, row, 'delete', [
    { type: 'delete', key: getDraftKey(row.id), condition: { type: 'version', version } },
    { type: 'delete', key: getHostIndexKey(row.host, row.id), condition: any },
    { type: 'delete', key: getStateIndexKey(row.state, row.id), condition: any },
  ]);
}

function retryDraft(state: State, ask: DraftCommand, row: DraftRow, version: string): Effect[] {
  if (row.state !== 'poison' && row.state !== 'failed') {
    const message = `draft ${row.id} is ${row.state}; only a failed or poison draft is retried`;
    return [newFailed(ask, Failure.create('bad_request', message))];
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
  return newChange(ask, next, 'retry', writes);
}

function newChange(
  ask: DraftCommand,
  row: DraftRow,
  action: 'delete' | 'retry',
  writes: RowWrite[],
): Effect[] {
  const call = { type: 'write', writes } as const;
  return [
    { type: 'callTable', call, purpose: { type: 'changeAskedDraft', ask, row, operation: action } },
  ];
}

function newAnswer(id: string, answer: DraftReadAnswer): Effect {
  return { type: 'answerDraftRead', id, answer };
}

function newFailed(ask: DraftCommand, failure: Failure): Effect {
  return newAnswer(ask.id, { type: 'failed', failure });
}

function newListAnswer(id: string, answer: DraftListAnswer): Effect {
  return { type: 'answerDraftList', id, answer };
}
