import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { RowWrite, TableAnswer } from '../core/store.ts';
import { schedule } from '../core/timers.ts';
import { adoptZoneRow, announceZoneRow } from './rowAdoption.ts';
import { MAX_CONFLICT_BACKOFF_MS, MAX_SCAN_ROWS } from './constants.ts';
import { confirmLease, endLeaseRenewal } from './lease.ts';
import { getLeaseKey, getSelfMember, getZoneRowKey, isMember } from './rows.ts';
import { type ZoneMember, type OwnershipPurpose, ZoneRow } from './types.ts';

type WriteRow = Extract<OwnershipPurpose, { type: 'writeZoneRow' }>;

/** Handles a read of the zone row: confirms the lease, or adds this host to the row. */
export function handleZoneRowReadAnswer(
  state: State,
  renewedAt: number,
  answer: TableAnswer,
  now: number,
): Effect[] {
  const { ownership, host } = state;
  if (answer.type === 'missing') {
    ownership.rowVersion = '';
    // The zone has no row yet, or its row was lost; the epoch continues from the last known one.
    if (ownership.phase !== 'active') return endLeaseRenewal(state);
    return [newRowWrite(state, [getSelfMember(state)], 'absent', renewedAt, [])];
  }
  const row = answer.type === 'ok' ? answer.rows[0] : undefined;
  if (row === undefined) return endLeaseRenewal(state);
  const parsed = ZoneRow.safeParse(row.value);
  if (!parsed.success) {
    endLeaseRenewal(state);
    return [newLog('error', `row ${row.key} is malformed`)];
  }
  const effects = adoptZoneRow(state, parsed.data, row.version, now);
  if (parsed.data.epoch < (ownership.row?.epoch ?? 0)) {
    // A message has announced a newer row in the meantime.
    return [...effects, ...scheduleZoneRowRead(state, renewedAt, now)];
  }
  if (isMember(state)) {
    confirmLease(state, renewedAt);
    endLeaseRenewal(state);
    return [...effects, newLeaseScan(state)];
  }
  if (ownership.phase !== 'active') {
    endLeaseRenewal(state);
    return effects;
  }
  const others = parsed.data.members.filter((member) => member.host !== host.id);
  const members = [...others, getSelfMember(state)];
  return [...effects, newRowWrite(state, members, row.version, renewedAt, [])];
}

/** Handles a write of the zone row; an unknown result is resolved by reading the row. */
export function handleZoneRowWriteAnswer(
  state: State,
  purpose: WriteRow,
  answer: TableAnswer,
  now: number,
): Effect[] {
  const { ownership } = state;
  const version = answer.type === 'ok' ? answer.rows[0]?.version : undefined;
  if (version !== undefined) {
    const effects = adoptZoneRow(state, purpose.row, version, now);
    if (ownership.row?.epoch === purpose.row.epoch) confirmLease(state, purpose.renewedAt);
    endLeaseRenewal(state);
    return [...effects, ...announceZoneRow(state), newLeaseScan(state)];
  }
  if (answer.type !== 'unknown') ownership.pendingWrite = undefined;
  if (answer.type === 'unavailable') return endLeaseRenewal(state);
  return scheduleZoneRowRead(state, purpose.renewedAt, now);
}

/**
 * Returns the write of a row without `removed`, or undefined while another write is pending. The same
 * transaction deletes the leases at the versions seen, so that a slow write cannot remove a member
 * that has renewed since.
 */
export function newMemberRemoval(
  state: State,
  removed: string[],
  leases: Map<string, string>,
): Effect | undefined {
  const { row, rowVersion, pendingWrite } = state.ownership;
  if (row === undefined || rowVersion === '' || pendingWrite !== undefined) return undefined;
  const members = row.members.filter(({ host }) => !removed.includes(host));
  const deletes = [...leases]
    .filter(([, version]) => version !== '')
    .map(([host, version]): RowWrite => {
      const key = getLeaseKey(state.host.zone, host);
      return { type: 'delete', key, condition: { type: 'version', version } };
    });
  return newRowWrite(state, members, rowVersion, -Infinity, removed, deletes);
}

function newRowWrite(
  state: State,
  members: ZoneMember[],
  version: string,
  renewedAt: number,
  removedHosts: string[],
  deletes: RowWrite[] = [],
): Effect {
  const { ownership, host } = state;
  const row: ZoneRow = { epoch: (ownership.row?.epoch ?? 0) + 1, members };
  ownership.pendingWrite = { epoch: row.epoch, removedHosts };
  const condition =
    version === 'absent' ? { type: 'absent' as const } : { type: 'version' as const, version };
  const key = getZoneRowKey(host.zone);
  return {
    type: 'callTable',
    call: { type: 'write', writes: [{ type: 'put', key, value: row, condition }, ...deletes] },
    purpose: { type: 'writeZoneRow', row, renewedAt },
  };
}

function scheduleZoneRowRead(state: State, renewedAt: number, now: number): Effect[] {
  const delayMs = MAX_CONFLICT_BACKOFF_MS * state.random.getFraction();
  schedule(state, now + delayMs, { type: 'readZoneRow', renewedAt });
  return [];
}

function newLeaseScan(state: State): Effect {
  const prefix = `host/${state.host.zone}/`;
  return {
    type: 'callTable',
    call: { type: 'scan', prefix, after: '', limit: MAX_SCAN_ROWS },
    purpose: { type: 'scanLeases' },
  };
}
