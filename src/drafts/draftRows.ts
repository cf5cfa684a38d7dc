import type { Effect } from '../core/effects.ts';
import type { TablePurpose } from '../core/purposes.ts';
import type { State } from '../core/state.ts';
import type { RowWrite } from '../core/store.ts';
import {
  HOST_INDEX_PREFIX,
  DRAFT_PREFIX,
  STATE_INDEX_PREFIX,
  MAX_INLINE_BYTES,
  STORE_RETRY_BASE_MS,
  STORE_RETRY_MAX_MS,
} from './constants.ts';
import type { DraftRow, DraftState, DraftSummary } from './types.ts';

/** Returns the key of a draft's row. */
export function getDraftKey(id: string): string {
  return DRAFT_PREFIX + encodeURIComponent(id);
}

/** Returns the key of a draft's entry in the index by host. */
export function getHostIndexKey(host: string, id: string): string {
  return `${HOST_INDEX_PREFIX}${host}/${encodeURIComponent(id)}`;
}

/** Returns the key of a draft's entry in the index by state. */
export function getStateIndexKey(state: DraftState, id: string): string {
  return `${STATE_INDEX_PREFIX}${state}/${encodeURIComponent(id)}`;
}

/** Returns the draft id in the key of a row or index entry. */
export function getDraftIdFromKey(key: string): string {
  const part = key.slice(key.lastIndexOf('/') + 1);
  try {
    return decodeURIComponent(part);
  } catch {
    // Another program wrote this key: it is no valid encoding, so no draft has this id.
    return part;
  }
}

/** Whether `text` is too large for a row and goes to the object store. */
export function isLargeText(text: string): boolean {
  return Buffer.byteLength(text) > MAX_INLINE_BYTES;
}

/** Whether the row assigns the draft to this incarnation of this host. */
export function isOwnRow(state: State, { host, incarnation }: DraftRow): boolean {
  return host === state.host.id && incarnation === state.host.incarnation;
}

/**
 * Returns the writes that put a draft's row and update its index entries. They are applied only if
 * the row still has `version`, or is absent if `version` is undefined.
 */
export function newDraftWrites(row: DraftRow, version: string | undefined): RowWrite[] {
  const { id, host } = row;
  const any = { type: 'any' } as const;
  const writes: RowWrite[] = [
    {
      type: 'put',
      key: getDraftKey(id),
      value: row,
      condition: version === undefined ? { type: 'absent' } : { type: 'version', version },
    },
  ];
  const index = getHostIndexKey(host, id);
  writes.push(
    row.state === 'queued'
      ? { type: 'put', key: index, value: {}, condition: any }
      : { type: 'delete', key: index, condition: any },
  );
  if (row.state === 'failed' || row.state === 'poison') {
    const value = getDraftSummary(row);
    writes.push({ type: 'put', key: getStateIndexKey(row.state, id), value, condition: any });
  }
  return writes;
}

/** Returns the part of a row that callers and operators see. */
export function getDraftSummary(row: DraftRow): DraftSummary {
  const { id, firm, caller, adapter, version, state, attempts, failure } = row;
  return { id, firm, caller, adapter, version, state, attempts, failure };
}

/** Returns the effect that reads a draft's row. */
export function newDraftRead(id: string, purpose: TablePurpose): Effect {
  return { type: 'callTable', call: { type: 'get', key: getDraftKey(id) }, purpose };
}

/** Returns the monotonic ms of the next store call, after an exponential backoff with jitter. */
export function getStoreRetryAt(state: State, tries: number, now: number): number {
  const limit = Math.min(STORE_RETRY_MAX_MS, STORE_RETRY_BASE_MS * 2 ** tries);
  return now + limit * (0.5 + state.random.getFraction() / 2);
}
