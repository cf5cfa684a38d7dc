import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { ObjectAnswer, TableAnswer } from '../core/store.ts';
import { schedule } from '../core/timers.ts';
import { removeOwnDraft, requeueDraft } from './draftQueue.ts';
import { getStoreRetryAt, newDraftRead, newDraftWrites } from './draftRows.ts';
import { DraftRow, type OwnDraft } from './types.ts';

/** Writes how an attempt at a draft ended; repeated until the table has it. */
export function recordDraftOutcome(
  state: State,
  draft: OwnDraft,
  next: DraftRow,
  now: number,
): Effect[] {
  draft.phase = 'recording';
  draft.pendingRow = next;
  draft.tries = 0;
  return writeDraftOutcome(state, draft, now);
}

/** Writes the result object of a large result, and the row otherwise. */
export function writeDraftOutcome(_state: State, draft: OwnDraft, _now: number): Effect[] {
  const { pendingRow: record, largeResult, id } = draft;
  if (record === undefined) return [];
  if (largeResult !== undefined && record.result?.type === 'object') {
    const call = { type: 'put', key: record.result.key, body: largeResult } as const;
    return [{ type: 'callObjects', call, purpose: { type: 'storeDraftResult', draft: id } }];
  }
  const call = { type: 'write', writes: newDraftWrites(record, draft.rowVersion) } as const;
  return [{ type: 'callTable', call, purpose: { type: 'recordDraft', draft: id } }];
}

/** Continues after a large result was written. */
export function handleResultWriteAnswer(
  state: State,
  draft: OwnDraft,
  answer: ObjectAnswer,
  now: number,
): Effect[] {
  if (answer.type !== 'ok') return recordLater(state, draft, now);
  draft.largeResult = undefined;
  return writeDraftOutcome(state, draft, now);
}

/** Continues after the row was written. */
export function handleOutcomeWriteAnswer(
  state: State,
  draft: OwnDraft,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type === 'ok') return endRecord(state, draft, now);
  if (answer.type === 'unavailable') return recordLater(state, draft, now);
  return [newDraftRead(draft.id, { type: 'readRecordedDraft', draft: draft.id })];
}

/** Continues after the row was read, because its write was refused or its answer was lost. */
export function handleOutcomeReadAnswer(
  state: State,
  draft: OwnDraft,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type === 'missing') return removeOwnDraft(state, draft.id, now);
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  const row = DraftRow.safeParse(stored?.value);
  const { pendingRow: record } = draft;
  if (stored === undefined || !row.success || record === undefined) {
    return recordLater(state, draft, now);
  }
  // Another host took the draft over; its result counts, not this one.
  if (row.data.fence !== record.fence) return removeOwnDraft(state, draft.id, now);
  const isRecorded = row.data.state === record.state && row.data.attempts === record.attempts;
  if (isRecorded) return endRecord(state, draft, now);
  draft.rowVersion = stored.version;
  return recordLater(state, draft, now);
}

function endRecord(state: State, draft: OwnDraft, now: number): Effect[] {
  if (draft.pendingRow?.state !== 'queued') return removeOwnDraft(state, draft.id, now);
  // The longer a draft keeps failing, the longer it waits.
  draft.tries = draft.pendingRow.attempts;
  return requeueDraft(state, draft, now);
}

function recordLater(state: State, draft: OwnDraft, now: number): Effect[] {
  schedule(state, getStoreRetryAt(state, draft.tries, now), {
    type: 'recordDraft',
    draft: draft.id,
  });
  draft.tries += 1;
  return [];
}
