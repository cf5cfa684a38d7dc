import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { ObjectAnswer, TableAnswer } from '../core/store.ts';
import type { Failure } from '../errors/failure.ts';
import type { ErrorKind } from '../errors/kinds.ts';
import { admitRequest } from '../requests/admission.ts';
import { MAX_REQUEST_DEADLINE_MS } from '../requests/constants.ts';
import { MAX_FAILED_ATTEMPTS } from './constants.ts';
import { pauseDraftStarts, removeOwnDraft, requeueDraft } from './draftQueue.ts';
import { recordDraftOutcome } from './draftOutcome.ts';
import { isLargeText, isOwnRow } from './draftRows.ts';
import { DraftRow, type OwnDraft } from './types.ts';

/** Errors that a further attempt cannot resolve. */
const PERMANENT_ERROR_KINDS: ReadonlySet<ErrorKind> = new Set([
  'bad_request',
  'unknown_adapter',
  'unknown_version',
  'body_too_large',
]);

/** Runs a draft whose row was read, unless this host no longer has to run it. */
export function handleDraftReadAnswer(
  state: State,
  draft: OwnDraft,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type === 'missing') return removeOwnDraft(state, draft.id, now);
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  if (stored === undefined) return pauseDraftStarts(state, draft, now);
  const row = DraftRow.safeParse(stored.value);
  if (!row.success || !isOwnRow(state, row.data) || row.data.state !== 'queued') {
    return removeOwnDraft(state, draft.id, now);
  }
  draft.row = row.data;
  draft.rowVersion = stored.version;
  const { body } = row.data;
  if (body.type === 'inline') return runDraft(state, draft, row.data, body.text, now);
  return [
    {
      type: 'callObjects',
      call: { type: 'get', key: body.key },
      purpose: { type: 'readDraftBody', draft: draft.id },
    },
  ];
}

/** Runs a draft whose body was read from the object store. */
export function handleDraftBodyReadAnswer(
  state: State,
  draft: OwnDraft,
  answer: ObjectAnswer,
  now: number,
): Effect[] {
  if (draft.row === undefined || answer.type !== 'ok') return requeueDraft(state, draft, now);
  return runDraft(state, draft, draft.row, answer.body, now);
}

/** Records a draft as done with its result. */
export function recordDraftResult(
  state: State,
  draft: OwnDraft,
  body: string,
  now: number,
): Effect[] {
  const { row } = draft;
  if (row === undefined) return [];
  const key = `draft-result/${encodeURIComponent(row.id)}/${row.fence}`;
  const isLarge = isLargeText(body);
  if (isLarge) draft.largeResult = body;
  const result = isLarge
    ? ({ type: 'object', key } as const)
    : ({ type: 'inline', text: body } as const);
  return recordDraftOutcome(state, draft, { ...row, state: 'done', result }, now);
}

/** Requeues a draft after its request failed, or records the failed attempt. */
export function handleDraftFailure(
  state: State,
  draft: OwnDraft,
  failure: Failure,
  now: number,
): Effect[] {
  const { row } = draft;
  if (row === undefined) return [];
  const { kind, message, outcome } = failure;
  const isQuarantined = kind === 'request_quarantined';
  // A request that did not run does not count as a failed attempt: an engine may be full for an
  // hour.
  if (outcome === 'not_run' && !isQuarantined && !PERMANENT_ERROR_KINDS.has(kind)) {
    return requeueDraft(state, draft, now);
  }
  const attempts = row.attempts + 1;
  const isPoison = isQuarantined || attempts >= MAX_FAILED_ATTEMPTS;
  const next: DraftRow = {
    ...row,
    attempts,
    state: PERMANENT_ERROR_KINDS.has(kind) ? 'failed' : isPoison ? 'poison' : 'queued',
    failure: { kind, message },
  };
  return recordDraftOutcome(state, draft, next, now);
}

function runDraft(
  state: State,
  draft: OwnDraft,
  row: DraftRow,
  body: string,
  now: number,
): Effect[] {
  draft.phase = 'running';
  const id = `draft-${row.id}-${row.fence}-${state.drafts.nextRequestNumber++}`;
  draft.requestId = id;
  return [
    { type: 'prepareDraftRequest', id, draft: row.id, path: row.path, body },
    ...admitRequest(
      state,
      {
        id,
        firm: row.firm,
        caller: row.caller,
        kind: 'draft',
        adapter: row.adapter,
        version: row.version,
        deadline: now + MAX_REQUEST_DEADLINE_MS,
        fingerprint: row.bodyHash,
        maxTokens: row.maxTokens,
        draft: row.id,
      },
      now,
    ),
  ];
}
