import type { Effect } from '../core/effects.ts';
import { newCount } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { getFailureReason, type ObjectAnswer, type TableAnswer } from '../core/store.ts';
import { schedule } from '../core/timers.ts';
import { Failure } from '../errors/failure.ts';
import { resolveVersion } from '../requests/adapterVersion.ts';
import { getFingerprint } from '../suspects/fingerprint.ts';
import { getQuarantineFailure } from '../suspects/suspicion.ts';
import {
  ACCEPT_TIMEOUT_MS,
  MAX_GROUP_COMMIT_DRAFTS,
  GROUP_COMMIT_DELAY_MS,
  MAX_DRAFTS,
} from './constants.ts';
import { addOwnDraft, startReadyDrafts } from './draftQueue.ts';
import {
  getDraftKey,
  getStoreRetryAt,
  isLargeText,
  isOwnRow,
  newDraftRead,
  newDraftWrites,
} from './draftRows.ts';
import { type CommitBatch, DraftRow, type NewDraft } from './types.ts';

/** Validates a new draft and writes it to the table; it is acknowledged once it is durable. */
export function admitDraft(state: State, draft: NewDraft, now: number): Effect[] {
  const version = validateDraft(state, draft);
  if (version instanceof Failure) return [newAnswer(draft.id, version)];
  const row = newDraftRow(state, draft, version);
  state.drafts.unacknowledged.set(draft.id, row);
  schedule(state, now + ACCEPT_TIMEOUT_MS, { type: 'draftAcceptTimeout', draft: draft.id });
  if (row.body.type === 'inline') return addToBatch(state, row, now);
  const call = { type: 'put', key: row.body.key, body: draft.body } as const;
  return [{ type: 'callObjects', call, purpose: { type: 'storeDraftBody', draft: draft.id } }];
}

/** Adds a large draft to the open batch after its body was written to the object store. */
export function handleBodyWriteAnswer(
  state: State,
  id: string,
  answer: ObjectAnswer,
  now: number,
): Effect[] {
  const row = state.drafts.unacknowledged.get(id);
  if (row === undefined) return [];
  if (answer.type === 'ok') return addToBatch(state, row, now);
  // No row refers to the object, so the draft never runs.
  const message = `the object store did not store the body of draft ${id}: ${getFailureReason(answer)}`;
  return answerCaller(state, id, Failure.create('store_unavailable', message));
}

/** Closes the open batch and writes it as one transaction. */
export function commitBatch(state: State, id: number): Effect[] {
  const batch = state.drafts.openBatch;
  if (batch?.id !== id) return [];
  state.drafts.openBatch = undefined;
  state.drafts.committingBatches.set(id, batch);
  return [writeBatch(batch)];
}

/**
 * Accepts, refuses or retries a batch after its transaction was answered. After a conflict or a
 * lost answer, the first row is read to learn whether the transaction was applied.
 */
export function handleCommitAnswer(
  state: State,
  id: number,
  answer: TableAnswer,
  now: number,
): Effect[] {
  const batch = state.drafts.committingBatches.get(id);
  if (batch === undefined) return [];
  switch (answer.type) {
    case 'ok':
      return acceptBatch(state, batch, now);
    case 'unavailable':
      return batch.mayBeApplied
        ? scheduleBatchRetry(state, batch, now)
        : refuseBatch(state, batch, `the table service is unavailable: ${answer.reason}`);
    case 'unknown':
      batch.mayBeApplied = true;
      return [readBatch(batch)];
    case 'conflict':
    case 'missing':
      return [readBatch(batch)];
  }
}

/**
 * Decides by the first row of a batch whether its transaction was applied: either all rows of a
 * batch are written or none.
 */
export function handleBatchReadAnswer(
  state: State,
  id: number,
  answer: TableAnswer,
  now: number,
): Effect[] {
  const batch = state.drafts.committingBatches.get(id);
  if (batch === undefined) return [];
  const row = DraftRow.safeParse(answer.type === 'ok' ? answer.rows[0]?.value : undefined);
  const own = `${state.host.id}/${state.host.incarnation}`;
  if (row.success && row.data.acceptedBy === own) {
    return acceptBatch(state, batch, now, isOwnRow(state, row.data));
  }
  if (answer.type === 'missing' && batch.mayBeApplied) return scheduleBatchRetry(state, batch, now);
  if (answer.type !== 'ok' && answer.type !== 'missing')
    return scheduleBatchRetry(state, batch, now);
  return splitBatch(state, batch);
}

/** Writes a batch again; the conditions of its writes prevent a second application. */
export function retryBatch(state: State, id: number): Effect[] {
  const batch = state.drafts.committingBatches.get(id);
  return batch === undefined ? [] : [writeBatch(batch)];
}

/** Answers a caller whose draft was not confirmed in time; the draft may have been accepted. */
export function failUnconfirmedDraft(state: State, id: string): Effect[] {
  const message = `the table service did not confirm draft ${id} within ${ACCEPT_TIMEOUT_MS} ms; it may have been accepted`;
  return answerCaller(
    state,
    id,
    Failure.create('store_unavailable', message, { outcome: 'unknown' }),
  );
}

function validateDraft(state: State, draft: NewDraft): string | Failure {
  const { phase, configuration, drafts } = state;
  if (phase === 'draining' || phase === 'stopped') {
    return Failure.create('shutting_down', 'this host is shutting down');
  }
  if (configuration.revision === 0) {
    return Failure.create('not_ready', 'this host has no configuration yet');
  }
  if (drafts.own.size + drafts.unacknowledged.size >= MAX_DRAFTS) {
    return Failure.create(
      'overloaded',
      `this host already has ${drafts.own.size} accepted and ${drafts.unacknowledged.size} new drafts, at most ${MAX_DRAFTS} are allowed`,
    );
  }
  const version = resolveVersion(state, draft);
  if (version instanceof Failure) return version;
  const fingerprint = getFingerprint(`${draft.adapter}@${version}`, draft.bodyHash);
  return getQuarantineFailure(state, fingerprint) ?? version;
}

function newDraftRow(state: State, draft: NewDraft, version: string): DraftRow {
  const { body, ...fields } = draft;
  const { id: host, incarnation } = state.host;
  return {
    ...fields,
    version,
    body: isLargeText(body)
      ? { type: 'object', key: `draft-body/${encodeURIComponent(draft.id)}` }
      : { type: 'inline', text: body },
    state: 'queued',
    attempts: 0,
    fence: 1,
    host,
    incarnation,
    acceptedBy: `${host}/${incarnation}`,
  };
}

function addToBatch(state: State, row: DraftRow, now: number): Effect[] {
  const { drafts } = state;
  if (drafts.openBatch === undefined) {
    drafts.openBatch = newBatch(state);
    schedule(state, now + GROUP_COMMIT_DELAY_MS, {
      type: 'commitDrafts',
      batch: drafts.openBatch.id,
    });
  }
  const batch = drafts.openBatch;
  batch.drafts.push(row.id);
  batch.writes.push(...newDraftWrites(row, undefined));
  return batch.drafts.length < MAX_GROUP_COMMIT_DRAFTS ? [] : commitBatch(state, batch.id);
}

function newBatch(state: State): CommitBatch {
  const id = state.drafts.nextBatchId++;
  return { id, drafts: [], writes: [], mayBeApplied: false, tries: 0 };
}

function writeBatch({ id, writes }: CommitBatch): Effect {
  const call = { type: 'write', writes } as const;
  return { type: 'callTable', call, purpose: { type: 'commitDrafts', batch: id } };
}

function readBatch({ id, drafts }: CommitBatch): Effect {
  return newDraftRead(drafts[0] ?? '', { type: 'readBatch', batch: id });
}

function scheduleBatchRetry(state: State, batch: CommitBatch, now: number): Effect[] {
  const at = getStoreRetryAt(state, batch.tries, now);
  batch.tries += 1;
  schedule(state, at, { type: 'retryBatch', batch: batch.id });
  return [];
}

function acceptBatch(state: State, batch: CommitBatch, now: number, isOwn = true): Effect[] {
  state.drafts.committingBatches.delete(batch.id);
  const answers = batch.drafts.flatMap((id) => answerCaller(state, id, undefined));
  // Drafts that another host took over in the meantime are durable, but run on that host.
  if (isOwn) for (const id of batch.drafts) addOwnDraft(state, id);
  return [...answers, ...startReadyDrafts(state, now)];
}

function refuseBatch(state: State, batch: CommitBatch, reason: string): Effect[] {
  state.drafts.committingBatches.delete(batch.id);
  return batch.drafts.flatMap((id) =>
    answerCaller(state, id, Failure.create('store_unavailable', reason)),
  );
}

/**
 * Writes the drafts of a refused batch one by one, so that one existing id fails only its draft.
 */
function splitBatch(state: State, batch: CommitBatch): Effect[] {
  if (batch.drafts.length === 1) {
    return refuseBatch(state, batch, `draft ${batch.drafts[0] ?? ''} already exists`);
  }
  state.drafts.committingBatches.delete(batch.id);
  return batch.drafts.map((id) => {
    const key = getDraftKey(id);
    const start = batch.writes.findIndex((write) => write.key === key);
    const single = newBatch(state);
    single.drafts.push(id);
    single.writes.push(...batch.writes.slice(start, start + 2));
    single.mayBeApplied = batch.mayBeApplied;
    state.drafts.committingBatches.set(single.id, single);
    return writeBatch(single);
  });
}

function answerCaller(state: State, id: string, failure: Failure | undefined): Effect[] {
  if (!state.drafts.unacknowledged.delete(id)) return [];
  return [
    newAnswer(id, failure),
    newCount('fireflywick_decisions_total', {
      decision: 'draft',
      reason: failure?.kind ?? 'accepted',
    }),
  ];
}

function newAnswer(id: string, failure: Failure | undefined): Effect {
  const answer =
    failure === undefined
      ? ({ type: 'accepted' } as const)
      : ({ type: 'failed', failure } as const);
  return { type: 'answerDraft', id, answer };
}
