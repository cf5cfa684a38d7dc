import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { ObjectAnswer, TableAnswer } from '../core/store.ts';
import { schedule } from '../core/timers.ts';
import { removeOwnDraft, requeueDraft } from './draftQueue.ts';
import { getStoreRetryAt, newDraftRead, newDraftWrites } from './draftRows.ts';
import { DraftRow, type OwnDraft } from './types.ts';

/** Starts recording the outcome of an attempt at a draft; retried until the table holds it. */
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

/** Writes a large result to the object store if that is pending, and the row otherwise. */
export function writeDraftOutcome(_state: State, draft: OwnDraft, _now: number): Effect[] {
  const { pendingRow, largeResult, id } = draft;
  if (pendingRow === undefined) return [];
  if (largeResult !== undefined && pendingRow.result?.type === 'object') {
    const call = { type: 'put', key: pendingRow.result.key, body: largeResult } as const;
    return [{ type: 'callObjects', call, purpose: { type: 'storeDraftResult', draft: id } }];
  }
  const call = { type: 'write', writes: newDraftWrites(pendingRow, draft.rowVersion) } as const;
  return [{ type: 'callTable', call, purpose: { type: 'recordDraft', draft: id } }];
}

/** Writes the row after a large result was written to the object store. */
export function handleResultWriteAnswer(
  state: State,
  draft: OwnDraft,
  answer: ObjectAnswer,
  now: number,
): Effect[] {
  if (answer.type !== 'ok') return scheduleOutcomeRetry(state, draft, now);
  draft.largeResult = undefined;
  return writeDraftOutcome(state, draft, now);
}

/** Ends the recording after the row was written; reads the row if the outcome is unclear. */
export function handleOutcomeWriteAnswer(
  state: State,
  draft: OwnDraft,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type === 'ok') return endRecording(state, draft, now);
  if (answer.type === 'unavailable') return scheduleOutcomeRetry(state, draft, now);
  return [newDraftRead(draft.id, { type: 'readRecordedDraft', draft: draft.id })];
}

/** Compares the row with the pending one after its write was refused or the answer was lost. */
export function handleOutcomeReadAnswer(
  state: State,
  draft: OwnDraft,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type === 'missing') return removeOwnDraft(state, draft.id, now);
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  const row = DraftRow.safeParse(stored?.value);
  const { pendingRow } = draft;
  if (stored === undefined || !row.success || pendingRow === undefined) {
    return scheduleOutcomeRetry(state, draft, now);
  }
  // Another host took the draft over, so its result counts.
  if (row.data.fence !== pendingRow.fence) return removeOwnDraft(state, draft.id, now);
  const isRecorded =
    row.data.state === pendingRow.state && row.data.attempts === pendingRow.attempts;
  if (isRecorded) return endRecording(state, draft, now);
  draft.rowVersion = stored.version;
  return scheduleOutcomeRetry(state, draft, now);
}

function endRecording(state: State, draft: OwnDraft, now: number): Effect[] {
  if (draft.pendingRow?.state !== 'queued') return removeOwnDraft(state, draft.id, now);
  // The backoff grows with the failed attempts of the draft.
  draft.tries = draft.pendingRow.attempts;
  return requeueDraft(state, draft, now);
}

function scheduleOutcomeRetry(state: State, draft: OwnDraft, now: number): Effect[] {
  schedule(state, getStoreRetryAt(state, draft.tries, now), {
    type: 'recordDraft',
    draft: draft.id,
  });
  draft.tries += 1;
  return [];
}
