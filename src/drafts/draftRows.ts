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

/** Returns the key of the row of a draft. */
export function getDraftKey(id: string): string {
  return DRAFT_PREFIX + encodeURIComponent(id);
}

/** Returns the key of the index entry of a draft by its host. */
export function getHostIndexKey(host: string, id: string): string {
  return `${HOST_INDEX_PREFIX}${host}/${encodeURIComponent(id)}`;
}

/** Returns the key of the index entry of a draft by its state. */
export function getStateIndexKey(state: DraftState, id: string): string {
  return `${STATE_INDEX_PREFIX}${state}/${encodeURIComponent(id)}`;
}

/** Returns the id of the draft that a key of any of the prefixes stands for. */
export function getDraftIdFromKey(key: string): string {
  const part = key.slice(key.lastIndexOf('/') + 1);
  try {
    return decodeURIComponent(part);
  } catch {
    // Another program wrote this key; no draft has it as id.
    return part;
  }
}

/** Whether `text` goes to the object store. */
export function isLargeText(text: string): boolean {
  return Buffer.byteLength(text) > MAX_INLINE_BYTES;
}

/** Whether the row says that this incarnation of this host runs the draft. */
export function isOwnRow(state: State, { host, incarnation }: DraftRow): boolean {
  return host === state.host.id && incarnation === state.host.incarnation;
}

/** Returns the writes that change a draft's row and its entries in the indexes. */
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

/** Returns what callers and operators see of a row. */
export function getDraftSummary(row: DraftRow): DraftSummary {
  const { id, firm, caller, adapter, version, state, attempts, failure } = row;
  return { id, firm, caller, adapter, version, state, attempts, failure };
}

/** Returns the effect that reads the row of a draft. */
export function newDraftRead(id: string, purpose: TablePurpose): Effect {
  return { type: 'callTable', call: { type: 'get', key: getDraftKey(id) }, purpose };
}

/** Returns the time of the next try of a store call, with jitter. */
export function getStoreRetryAt(state: State, tries: number, now: number): number {
  const limit = Math.min(STORE_RETRY_MAX_MS, STORE_RETRY_BASE_MS * 2 ** tries);
  return now + limit * (0.5 + state.random.getFraction() / 2);
}
