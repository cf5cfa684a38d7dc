import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { StoredRow, TableAnswer } from '../core/store.ts';
import { updateReleasedEpoch } from './rowAdoption.ts';
import { LEASE_TTL_MS, RENEWAL_TIMEOUT_MS } from './constants.ts';
import { getLeaseKey, getZoneRowKey, isMember } from './rows.ts';
import { Lease, type OwnershipPurpose } from './types.ts';

type ReadLease = Extract<OwnershipPurpose, { type: 'readLease' }>;
type WriteLease = Extract<OwnershipPurpose, { type: 'writeLease' }>;

/** Starts a renewal of the lease unless one is in flight. */
export function startLeaseRenewal(state: State, now: number): Effect[] {
  const { ownership } = state;
  if (ownership.phase === 'left' || ownership.phase === 'superseded') return [];
  // A renewal that started before a pause is not valid after it.
  const isInFlight =
    ownership.renewingSince + RENEWAL_TIMEOUT_MS > now &&
    ownership.renewingSince >= ownership.resumedAt;
  if (isInFlight) return [];
  ownership.renewingSince = now;
  if (ownership.leaseVersion !== undefined) return writeLease(state, now, false);
  return [readLease(state, { type: 'readLease', renewal: -1, sentAt: now, isRetry: false })];
}

/** Reads the zone row after a lease write, or the lease row if the write may have failed. */
export function handleLeaseWriteAnswer(
  state: State,
  purpose: WriteLease,
  answer: TableAnswer,
  sentAt: number,
): Effect[] {
  const { ownership } = state;
  const { renewal, isRetry } = purpose;
  if (answer.type === 'ok') {
    if (renewal === ownership.renewal) ownership.leaseVersion = answer.rows[0]?.version;
    return [newZoneRowRead(state, sentAt)];
  }
  if (answer.type === 'unavailable') return endLeaseRenewal(state);
  // The write may have taken effect; a read of the lease row shows it.
  return [readLease(state, { type: 'readLease', renewal, sentAt, isRetry })];
}

/**
 * Handles a read of this host's lease: confirms a write with an unknown result, writes the lease, or
 * stops when a newer incarnation holds it. A confirmed renewal counts from when it was sent.
 */
export function handleLeaseReadAnswer(
  state: State,
  purpose: ReadLease,
  answer: TableAnswer,
  now: number,
): Effect[] {
  const { ownership, host } = state;
  if (answer.type === 'missing') {
    ownership.leaseVersion = '';
    return purpose.isRetry ? endLeaseRenewal(state) : writeLease(state, now, true);
  }
  const row = answer.type === 'ok' ? answer.rows[0] : undefined;
  if (row === undefined) return endLeaseRenewal(state);
  const lease = parseLease(row);
  if (lease !== undefined && lease.incarnation > host.incarnation) {
    ownership.phase = 'superseded';
    ownership.acquiredEngines.clear();
    return [
      newLog('error', 'lease superseded by a newer incarnation of this host', { host: host.id }),
    ];
  }
  ownership.leaseVersion = row.version;
  const isOwn = lease?.incarnation === host.incarnation && lease.renewal === purpose.renewal;
  if (isOwn) return [newZoneRowRead(state, purpose.sentAt)];
  return purpose.isRetry ? endLeaseRenewal(state) : writeLease(state, now, true);
}

/** Extends the lease from `renewedAt` if the zone row, read since then, lists this host. */
export function confirmLease(state: State, renewedAt: number): void {
  const { ownership } = state;
  if (!isMember(state) || renewedAt <= ownership.leaseConfirmedAt) return;
  ownership.leaseConfirmedAt = renewedAt;
  ownership.leaseValidUntil = renewedAt + LEASE_TTL_MS;
}

/** Marks the renewal in flight as ended. */
export function endLeaseRenewal({ ownership }: State): Effect[] {
  ownership.renewingSince = -Infinity;
  return [];
}

/** Returns the read of the zone row that confirms the renewal sent at `renewedAt`. */
export function newZoneRowRead(state: State, renewedAt: number): Effect {
  return {
    type: 'callTable',
    call: { type: 'get', key: getZoneRowKey(state.host.zone) },
    purpose: { type: 'readZoneRow', renewedAt },
  };
}

/** Parses a lease row; returns undefined if it is malformed. */
export function parseLease(row: StoredRow): Lease | undefined {
  return Lease.safeParse(row.value).data;
}

function readLease(state: State, purpose: ReadLease): Effect {
  const key = getLeaseKey(state.host.zone, state.host.id);
  return { type: 'callTable', call: { type: 'get', key }, purpose };
}

function writeLease(state: State, now: number, isRetry: boolean): Effect[] {
  const { ownership, host } = state;
  ownership.renewal += 1;
  const lease: Lease = {
    incarnation: host.incarnation,
    renewal: ownership.renewal,
    seenEpoch: updateReleasedEpoch(state, now),
    address: host.address,
    state: ownership.phase,
  };
  const version = ownership.leaseVersion ?? '';
  const condition =
    version === '' ? { type: 'absent' as const } : { type: 'version' as const, version };
  const key = getLeaseKey(host.zone, host.id);
  return [
    {
      type: 'callTable',
      call: { type: 'write', writes: [{ type: 'put', key, value: lease, condition }] },
      purpose: { type: 'writeLease', renewal: ownership.renewal, isRetry },
    },
  ];
}
