import { sha256 } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import type { RowWrite } from '../core/store.ts';
import { isHostUnreachable, type UnreachableLimits } from '../membership/reachability.ts';
import {
  ACTION_PREFIX,
  ENDED_INDEX_PREFIX,
  MAX_RETENTION_HOUR_AGE_MS,
  OPEN_INDEX_PREFIX,
} from './constants.ts';
import type { Action, ActionRow, NewAction } from './types.ts';

const HOUR_DIGITS = 9;

/** Returns the key of the row of a call with an idempotency key. */
export function getActionKey({ firm, caller, service, idempotencyKey = '' }: NewAction): string {
  return ACTION_PREFIX + [firm, caller, service, idempotencyKey].map(encodePart).join('/');
}

// encodeURIComponent throws on a lone surrogate; the conversion to bytes and back replaces it.
function encodePart(part: string): string {
  return encodeURIComponent(Buffer.from(part).toString());
}

/** Returns the hash of a call; a repeat with the same idempotency key must have the same hash. */
export function getCallHash({ method, path, bodyHash }: NewAction): string {
  return sha256(`${method}\n${path}\n${bodyHash}`);
}

/** Returns the key of a row's entry in the index of open claims. */
export function getOpenIndexKey(rowKey: string): string {
  return OPEN_INDEX_PREFIX + rowKey.slice(ACTION_PREFIX.length);
}

/** Returns the key of a row's entry in the index of ended claims, by retention hour. */
export function getEndedIndexKey(rowKey: string, hour: number): string {
  const padded = String(hour).padStart(HOUR_DIGITS, '0');
  return `${ENDED_INDEX_PREFIX}${padded}/${rowKey.slice(ACTION_PREFIX.length)}`;
}

/** Returns the key of the row to which an entry of either index refers. */
export function getIndexedRowKey(index: string): string {
  return index.startsWith(OPEN_INDEX_PREFIX)
    ? ACTION_PREFIX + index.slice(OPEN_INDEX_PREFIX.length)
    : ACTION_PREFIX + index.slice(ENDED_INDEX_PREFIX.length + HOUR_DIGITS + 1);
}

/** Returns the retention hour to write into a row, or undefined if the last read is too old. */
export function getFreshRetentionHour(state: State, now: number): number | undefined {
  const { retentionHour, retentionHourReadAt } = state.actions;
  return retentionHour >= 0 && now - retentionHourReadAt <= MAX_RETENTION_HOUR_AGE_MS
    ? retentionHour
    : undefined;
}

/**
 * Returns the writes that put `row` and update its index entries. They are applied only if the row
 * still has `version`, or is absent if `version` is undefined.
 */
export function newActionWrites(
  rowKey: string,
  row: ActionRow,
  version: string | undefined,
): RowWrite[] {
  const writes: RowWrite[] = [
    {
      type: 'put',
      key: rowKey,
      value: row,
      condition: version === undefined ? { type: 'absent' } : { type: 'version', version },
    },
  ];
  const open = getOpenIndexKey(rowKey);
  if (row.endedHour === undefined) {
    writes.push({ type: 'put', key: open, value: {}, condition: { type: 'any' } });
  } else {
    const ended = getEndedIndexKey(rowKey, row.endedHour);
    writes.push({ type: 'delete', key: open, condition: { type: 'any' } });
    writes.push({ type: 'put', key: ended, value: {}, condition: { type: 'any' } });
  }
  return writes;
}

/** Returns the row with which `action` claims its idempotency key. */
export function newClaimRow(state: State, { claimToken, callHash }: Action): ActionRow {
  const { id: host, incarnation } = state.host;
  return { token: claimToken, bodyHash: callHash, host, incarnation, state: 'claimed' };
}

/**
 * Whether, as far as this host knows, the holder of a claim no longer works on it. A holder that is
 * only partitioned still records its response, which a later repeat receives.
 */
export function isClaimHolderGone(
  state: State,
  row: ActionRow,
  now: number,
  limits?: UnreachableLimits,
): boolean {
  if (row.host === state.host.id) {
    if (row.incarnation !== state.host.incarnation) return true;
    return ![...state.actions.inFlight.values()].some(({ claimToken }) => claimToken === row.token);
  }
  const entry = state.membership.hosts.get(row.host);
  if (entry === undefined || entry.incarnation > row.incarnation) return true;
  return isHostUnreachable(state, entry, now, limits);
}
