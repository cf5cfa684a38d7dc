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

/** Returns the row key of a call with an idempotency key. */
export function getActionKey({
  firm,
  caller,
  service,
  idempotencyKey: key = '',
}: NewAction): string {
  return ACTION_PREFIX + [firm, caller, service, key].map(encodePart).join('/');
}

// A lone surrogate makes encodeURIComponent throw; the round trip through bytes replaces it.
function encodePart(part: string): string {
  return encodeURIComponent(Buffer.from(part).toString());
}

/** Returns the hash that a repeat with the same key must have. */
export function getCallHash({ method, path, bodyHash }: NewAction): string {
  return sha256(`${method}\n${path}\n${bodyHash}`);
}

/** Returns the key of the index entry of a claim that has not ended. */
export function getOpenIndexKey(rowKey: string): string {
  return OPEN_INDEX_PREFIX + rowKey.slice(ACTION_PREFIX.length);
}

/** Returns the key of the index entry of a claim that ended in `hour`. */
export function getEndedIndexKey(rowKey: string, hour: number): string {
  const padded = String(hour).padStart(HOUR_DIGITS, '0');
  return `${ENDED_INDEX_PREFIX}${padded}/${rowKey.slice(ACTION_PREFIX.length)}`;
}

/** Returns the row key that an entry of either index stands for. */
export function getIndexedRowKey(index: string): string {
  return index.startsWith(OPEN_INDEX_PREFIX)
    ? ACTION_PREFIX + index.slice(OPEN_INDEX_PREFIX.length)
    : ACTION_PREFIX + index.slice(ENDED_INDEX_PREFIX.length + HOUR_DIGITS + 1);
}

/** Returns the retention hour to stamp into a row, or undefined when the known one may be old. */
export function getFreshRetentionHour(state: State, now: number): number | undefined {
  const { retentionHour: hour, retentionHourReadAt: hourReadAt } = state.actions;
  return hour >= 0 && now - hourReadAt <= MAX_RETENTION_HOUR_AGE_MS ? hour : undefined;
}

/** Returns the writes that put `row` under the condition that `version` is still there. */
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

/** Returns the row that claims the key of `action`. */
export function newClaimRow(state: State, { claimToken: token, callHash }: Action): ActionRow {
  const { id: host, incarnation } = state.host;
  return { token, bodyHash: callHash, host, incarnation, state: 'claimed' };
}

/**
 * Whether the holder of a claim is not working on it any more, as far as this host knows. A holder
 * that is only cut off still records its answer, which a later repeat gets.
 */
export function isClaimHolderGone(
  state: State,
  row: ActionRow,
  now: number,
  limits?: UnreachableLimits,
): boolean {
  if (row.host === state.host.id) {
    if (row.incarnation !== state.host.incarnation) return true;
    return ![...state.actions.inFlight.values()].some(
      ({ claimToken: token }) => token === row.token,
    );
  }
  const entry = state.membership.hosts.get(row.host);
  if (entry === undefined || entry.incarnation > row.incarnation) return true;
  return isHostUnreachable(state, entry, now, limits);
}
