import { z } from 'zod';
import { getRendezvousChoice } from '../base/hash.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { TableAnswer } from '../core/store.ts';
import { getReachableHosts } from '../membership/reachability.ts';
import { schedule } from '../core/timers.ts';
import {
  CLAIM_SILENT_MS,
  ENDED_PREFIX,
  HOUR_KEY,
  HOUR_MS,
  HOUR_POLL_MS,
  OPEN_PREFIX,
  RETENTION_HOURS,
  SWEEP_BUSY_MS,
  SWEEP_MS,
  SWEEP_PAGE,
} from './constants.ts';
import {
  getEndedKey,
  getIndexedKey,
  getOpenKey,
  getStampHour,
  isHolderGone,
  newRowWrites,
} from './rows.ts';
import { ActionRow, type Sweep } from './types.ts';

const Hour = z.object({ hour: z.int().min(0) });

/** Starts to read the retention hour and, on the one host that does it, to sweep. */
export function startRetention(state: State, now: number): Effect[] {
  schedule(state, now, { type: 'pollRetention' });
  scheduleSweep(state, now + SWEEP_MS);
  return [];
}

function scheduleSweep(state: State, at: number): void {
  state.actions.nextSweepAt = at;
  schedule(state, at, { type: 'sweepActions' });
}

/** Whether this host sweeps; a second sweeper does no harm, since all writes are conditional. */
function isSweeper(state: State, now: number): boolean {
  return getRendezvousChoice('sweep/actions', getReachableHosts(state, now)) === state.host.id;
}

/** Reads the retention hour and schedules the next read. */
export function pollHour(state: State, now: number): Effect[] {
  schedule(state, now + HOUR_POLL_MS, { type: 'pollRetention' });
  return [
    { type: 'callTable', call: { type: 'get', key: HOUR_KEY }, purpose: { type: 'readHour' } },
  ];
}

/** Takes over the hour that was read; raises it when it stood for an hour on this host's clock. */
export function takeHour(
  state: State,
  answer: TableAnswer,
  times: { sentAt: number; now: number },
): Effect[] {
  if (answer.type === 'missing' && isSweeper(state, times.now)) return [newHourWrite(0, undefined)];
  const row = answer.type === 'ok' ? answer.rows[0] : undefined;
  const parsed = Hour.safeParse(row?.value);
  if (row === undefined || !parsed.success) return [];
  const { hour } = parsed.data;
  if (hour > state.actions.hour) {
    state.actions.hour = hour;
    state.actions.hourSeenAt = times.now;
  }
  state.actions.hourReadAt = Math.max(state.actions.hourReadAt, times.sentAt);
  const isDue = times.sentAt - state.actions.hourSeenAt >= HOUR_MS;
  return isDue && isSweeper(state, times.now) ? [newHourWrite(hour + 1, row.version)] : [];
}

/** Starts one bounded pass over each index. */
export function startSweep(state: State, now: number): Effect[] {
  if (now < state.actions.nextSweepAt) return [];
  scheduleSweep(state, now + SWEEP_MS);
  if (!isSweeper(state, now)) return [];
  state.actions.sweep = undefined;
  const limit = SWEEP_PAGE;
  return [
    {
      type: 'callTable',
      call: { type: 'scan', prefix: ENDED_PREFIX, after: '', limit },
      purpose: { type: 'scanEndedActions' },
    },
    {
      type: 'callTable',
      call: { type: 'scan', prefix: OPEN_PREFIX, after: state.actions.openCursor, limit },
      purpose: { type: 'scanOpenActions' },
    },
  ];
}

/** Takes a page of open claims and moves on to the next one. */
export function sweepOpenPage(state: State, answer: TableAnswer): Effect[] {
  if (answer.type !== 'ok') return [];
  const last = answer.rows.length === SWEEP_PAGE ? answer.rows[SWEEP_PAGE - 1] : undefined;
  state.actions.openCursor = last?.key ?? '';
  return sweepPage(state, answer);
}

/** Reads the rows that a page of an index stands for, when they are due. */
export function sweepPage(state: State, answer: TableAnswer): Effect[] {
  if (answer.type !== 'ok') return [];
  const due = answer.rows
    .map(({ key, version }) => ({ index: key, version }))
    .filter(({ index }) => index.startsWith(OPEN_PREFIX) || isDue(state, index));
  if (due.length === 0) return [];
  const sweep = (state.actions.sweep ??= { pending: 0, writes: [], isFull: false });
  sweep.pending += due.length;
  sweep.isFull ||=
    due.length === SWEEP_PAGE && due.every(({ index }) => index.startsWith(ENDED_PREFIX));
  return due.map(({ index, version }) => ({
    type: 'callTable',
    call: { type: 'get', key: getIndexedKey(index) },
    purpose: { type: 'readSwept', index, version },
  }));
}

/** Collects the writes for one row; writes them all after the last row was read. */
export function sweepRow(
  state: State,
  { index, version }: { index: string; version: string },
  answer: TableAnswer,
  now: number,
): Effect[] {
  const { sweep } = state.actions;
  if (sweep === undefined) return [];
  collectWrites(state, sweep, { index, indexVersion: version }, answer, now);
  sweep.pending -= 1;
  if (sweep.pending > 0) return [];
  state.actions.sweep = undefined;
  if (sweep.isFull) scheduleSweep(state, now + SWEEP_BUSY_MS);
  if (sweep.writes.length === 0) return [];
  return [
    {
      type: 'callTable',
      call: { type: 'write', writes: sweep.writes },
      purpose: { type: 'writeSwept' },
    },
  ];
}

function collectWrites(
  state: State,
  { writes }: Sweep,
  { index, indexVersion }: { index: string; indexVersion: string },
  answer: TableAnswer,
  now: number,
): void {
  // The version keeps a late delete from removing an entry that was put again meanwhile.
  const condition = { type: 'version', version: indexVersion } as const;
  if (answer.type === 'missing') {
    writes.push({ type: 'delete', key: index, condition });
    return;
  }
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  const row = ActionRow.safeParse(stored?.value);
  if (stored === undefined || !row.success) return;
  const { key, version } = stored;
  if (index.startsWith(ENDED_PREFIX)) {
    writes.push({ type: 'delete', key: index, condition });
    // A row that was claimed again after a release ends later, under another index key.
    const { endedHour } = row.data;
    if (endedHour === undefined || getEndedKey(key, endedHour) !== index) return;
    writes.push({ type: 'delete', key, condition: { type: 'version', version } });
    return;
  }
  const hour = getStampHour(state, now);
  if (hour === undefined || index !== getOpenKey(key)) return;
  const isOpen = row.data.state === 'claimed';
  const limits = { hostMs: CLAIM_SILENT_MS, zoneMs: CLAIM_SILENT_MS };
  if (isOpen && !isHolderGone(state, row.data, now, limits)) return;
  const ended: ActionRow = { ...row.data, state: isOpen ? 'unknown' : row.data.state };
  writes.push(...newRowWrites(key, { ...ended, endedHour: ended.endedHour ?? hour }, version));
}

function isDue(state: State, index: string): boolean {
  const hour = Number(index.slice(ENDED_PREFIX.length).split('/')[0]);
  return Number.isInteger(hour) && hour + RETENTION_HOURS <= state.actions.hour;
}

function newHourWrite(hour: number, version: string | undefined): Effect {
  return {
    type: 'callTable',
    call: {
      type: 'write',
      writes: [
        {
          type: 'put',
          key: HOUR_KEY,
          value: { hour },
          condition: version === undefined ? { type: 'absent' } : { type: 'version', version },
        },
      ],
    },
    purpose: { type: 'raiseHour', hour },
  };
}
