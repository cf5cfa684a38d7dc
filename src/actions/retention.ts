import { z } from 'zod';
import { getRendezvousChoice } from '../base/hash.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { TableAnswer } from '../core/store.ts';
import { getReachableHosts } from '../membership/reachability.ts';
import { schedule } from '../core/timers.ts';
import {
  CLAIM_HOLDER_UNREACHABLE_MS,
  ENDED_INDEX_PREFIX,
  RETENTION_HOUR_KEY,
  HOUR_MS,
  RETENTION_HOUR_POLL_MS,
  OPEN_INDEX_PREFIX,
  RETENTION_HOURS,
  FULL_PAGE_PAUSE_MS,
  SWEEP_INTERVAL_MS,
  SWEEP_PAGE_SIZE,
} from './constants.ts';
import {
  getEndedIndexKey,
  getIndexedRowKey,
  getOpenIndexKey,
  getFreshRetentionHour,
  isClaimHolderGone,
  newActionWrites,
} from './actionRows.ts';
import { ActionRow, type RetentionSweep } from './types.ts';

const RetentionHourRow = z.object({ hour: z.int().min(0) });

/** Starts the polling of the retention hour and the sweep, which runs on one host only. */
export function startRetention(state: State, now: number): Effect[] {
  schedule(state, now, { type: 'pollRetentionHour' });
  scheduleSweep(state, now + SWEEP_INTERVAL_MS);
  return [];
}

function scheduleSweep(state: State, at: number): void {
  state.actions.nextSweepAt = at;
  schedule(state, at, { type: 'sweepActions' });
}

/** Whether this host sweeps; a second sweeper is harmless, since all writes are conditional. */
function isSweeper(state: State, now: number): boolean {
  return getRendezvousChoice('sweep/actions', getReachableHosts(state, now)) === state.host.id;
}

/** Reads the retention hour and schedules the next read. */
export function pollRetentionHour(state: State, now: number): Effect[] {
  schedule(state, now + RETENTION_HOUR_POLL_MS, { type: 'pollRetentionHour' });
  return [
    {
      type: 'callTable',
      call: { type: 'get', key: RETENTION_HOUR_KEY },
      purpose: { type: 'readHour' },
    },
  ];
}

/**
 * Adopts the retention hour that was read. The sweeper raises it after it stayed the same for an
 * hour on its own clock.
 */
export function updateRetentionHour(
  state: State,
  answer: TableAnswer,
  times: { sentAt: number; now: number },
): Effect[] {
  if (answer.type === 'missing' && isSweeper(state, times.now))
    return [newRetentionHourWrite(0, undefined)];
  const row = answer.type === 'ok' ? answer.rows[0] : undefined;
  const parsed = RetentionHourRow.safeParse(row?.value);
  if (row === undefined || !parsed.success) return [];
  const { hour } = parsed.data;
  if (hour > state.actions.retentionHour) {
    state.actions.retentionHour = hour;
    state.actions.retentionHourSeenAt = times.now;
  }
  state.actions.retentionHourReadAt = Math.max(state.actions.retentionHourReadAt, times.sentAt);
  const isRaiseDue = times.sentAt - state.actions.retentionHourSeenAt >= HOUR_MS;
  return isRaiseDue && isSweeper(state, times.now)
    ? [newRetentionHourWrite(hour + 1, row.version)]
    : [];
}

/** Scans one page of each index on the host that sweeps. */
export function startRetentionSweep(state: State, now: number): Effect[] {
  if (now < state.actions.nextSweepAt) return [];
  scheduleSweep(state, now + SWEEP_INTERVAL_MS);
  if (!isSweeper(state, now)) return [];
  state.actions.sweep = undefined;
  const limit = SWEEP_PAGE_SIZE;
  return [
    {
      type: 'callTable',
      call: { type: 'scan', prefix: ENDED_INDEX_PREFIX, after: '', limit },
      purpose: { type: 'scanEndedActions' },
    },
    {
      type: 'callTable',
      call: {
        type: 'scan',
        prefix: OPEN_INDEX_PREFIX,
        after: state.actions.openClaimCursor,
        limit,
      },
      purpose: { type: 'scanOpenActions' },
    },
  ];
}

/** Sweeps a page of open claims; the next sweep continues after its last key. */
export function sweepOpenClaims(state: State, answer: TableAnswer): Effect[] {
  if (answer.type !== 'ok') return [];
  const last =
    answer.rows.length === SWEEP_PAGE_SIZE ? answer.rows[SWEEP_PAGE_SIZE - 1] : undefined;
  state.actions.openClaimCursor = last?.key ?? '';
  return sweepIndexPage(state, answer);
}

/** Reads the rows of the open claims, or of the ended claims past retention, of an index page. */
export function sweepIndexPage(state: State, answer: TableAnswer): Effect[] {
  if (answer.type !== 'ok') return [];
  const due = answer.rows
    .map(({ key, version }) => ({ index: key, version }))
    .filter(({ index }) => index.startsWith(OPEN_INDEX_PREFIX) || isPastRetention(state, index));
  if (due.length === 0) return [];
  const sweep = (state.actions.sweep ??= { pendingReads: 0, writes: [], isEndedPageFull: false });
  sweep.pendingReads += due.length;
  sweep.isEndedPageFull ||=
    due.length === SWEEP_PAGE_SIZE &&
    due.every(({ index }) => index.startsWith(ENDED_INDEX_PREFIX));
  return due.map(({ index, version }) => ({
    type: 'callTable',
    call: { type: 'get', key: getIndexedRowKey(index) },
    purpose: { type: 'readSwept', index, version },
  }));
}

/** Collects the writes for one swept row, and sends them all after the last row was read. */
export function handleSweptRowAnswer(
  state: State,
  { index, version }: { index: string; version: string },
  answer: TableAnswer,
  now: number,
): Effect[] {
  const { sweep } = state.actions;
  if (sweep === undefined) return [];
  collectSweepWrites(state, sweep, { index, indexVersion: version }, answer, now);
  sweep.pendingReads -= 1;
  if (sweep.pendingReads > 0) return [];
  state.actions.sweep = undefined;
  if (sweep.isEndedPageFull) scheduleSweep(state, now + FULL_PAGE_PAUSE_MS);
  if (sweep.writes.length === 0) return [];
  return [
    {
      type: 'callTable',
      call: { type: 'write', writes: sweep.writes },
      purpose: { type: 'writeSwept' },
    },
  ];
}

function collectSweepWrites(
  state: State,
  { writes }: RetentionSweep,
  { index, indexVersion }: { index: string; indexVersion: string },
  answer: TableAnswer,
  now: number,
): void {
  // With the version as condition, a late delete does not remove an entry that was put again.
  const condition = { type: 'version', version: indexVersion } as const;
  if (answer.type === 'missing') {
    writes.push({ type: 'delete', key: index, condition });
    return;
  }
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  const row = ActionRow.safeParse(stored?.value);
  if (stored === undefined || !row.success) return;
  const { key, version } = stored;
  if (index.startsWith(ENDED_INDEX_PREFIX)) {
    writes.push({ type: 'delete', key: index, condition });
    // A row that was claimed again after a release ends later, with another index entry.
    const { endedHour } = row.data;
    if (endedHour === undefined || getEndedIndexKey(key, endedHour) !== index) return;
    writes.push({ type: 'delete', key, condition: { type: 'version', version } });
    return;
  }
  const hour = getFreshRetentionHour(state, now);
  if (hour === undefined || index !== getOpenIndexKey(key)) return;
  const isOpen = row.data.state === 'claimed';
  const limits = { hostMs: CLAIM_HOLDER_UNREACHABLE_MS, zoneMs: CLAIM_HOLDER_UNREACHABLE_MS };
  if (isOpen && !isClaimHolderGone(state, row.data, now, limits)) return;
  const ended: ActionRow = { ...row.data, state: isOpen ? 'unknown' : row.data.state };
  writes.push(...newActionWrites(key, { ...ended, endedHour: ended.endedHour ?? hour }, version));
}

function isPastRetention(state: State, index: string): boolean {
  const hour = Number(index.slice(ENDED_INDEX_PREFIX.length).split('/')[0]);
  return Number.isInteger(hour) && hour + RETENTION_HOURS <= state.actions.retentionHour;
}

function newRetentionHourWrite(hour: number, version: string | undefined): Effect {
  return {
    type: 'callTable',
    call: {
      type: 'write',
      writes: [
        {
          type: 'put',
          key: RETENTION_HOUR_KEY,
          value: { hour },
          condition: version === undefined ? { type: 'absent' } : { type: 'version', version },
        },
      ],
    },
    purpose: { type: 'raiseHour', hour },
  };
}
