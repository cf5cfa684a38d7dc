import { getRendezvousOrder } from '../base/hash.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { StoredRow } from '../core/store.ts';
import { updateOwnership } from './rowAdoption.ts';
import {
  LEASE_ROW_RETENTION_MS,
  LEASE_RENEWAL_INTERVAL_MS,
  LEASE_TTL_MS,
  CLOCK_DRIFT_FACTOR,
  MAX_LEASE_SCAN_GAP_MS,
} from './constants.ts';
import { recordAcknowledgedEpoch } from './acquiredEngines.ts';
import { parseLease } from './lease.ts';
import { hasValidLease } from './owner.ts';
import { hasPromisedNotToRemove } from './promises.ts';
import { getLeaseKey } from './rows.ts';
import type { Lease } from './types.ts';
import { newMemberRemoval } from './zoneRow.ts';

/** Records the renewals in the zone's lease rows and removes members that stopped renewing. */
export function handleLeaseScan(state: State, rows: StoredRow[], now: number): Effect[] {
  const { ownership, host, membership } = state;
  // Restart the silence timers after a gap: renewals in the meantime may have gone unseen.
  if (ownership.leasesScannedAt + MAX_LEASE_SCAN_GAP_MS < now) {
    for (const observed of ownership.observedLeases.values()) observed.firstSeenAt = now;
  }
  ownership.leasesScannedAt = now;
  const effects: Effect[] = [];
  const members = new Set(ownership.row?.members.map((member) => member.host));
  const prefix = getLeaseKey(host.zone, '');
  let isChanged = false;
  const seen = new Set(members);
  for (const row of rows) {
    const lease = parseLease(row);
    const id = row.key.slice(prefix.length);
    if (lease === undefined) continue;
    seen.add(id);
    recordRenewal(state, id, lease, row.version, now);
    const { incarnation, seenEpoch, address } = lease;
    if (recordAcknowledgedEpoch(state, { host: id, incarnation }, seenEpoch, now)) isChanged = true;
    if (id !== host.id && !membership.hosts.has(id)) {
      membership.addressHints.set(id, { zone: host.zone, address });
    }
    if (!members.has(id) && isAbandoned(state, id, now)) effects.push(newLeaseDeletion(row));
  }
  for (const member of ownership.row?.members ?? []) {
    if (!ownership.observedLeases.has(member.host)) {
      const { incarnation } = member;
      ownership.observedLeases.set(member.host, {
        incarnation,
        renewal: -1,
        version: '',
        firstSeenAt: now,
      });
    }
  }
  for (const id of ownership.observedLeases.keys())
    if (!seen.has(id)) ownership.observedLeases.delete(id);
  if (isChanged) effects.push(...updateOwnership(state, now));
  return [...effects, ...removeSilentMembers(state, now)];
}

/** Removes silent members. The delay grows with the survivor's rank, to avoid concurrent writes. */
function removeSilentMembers(state: State, now: number): Effect[] {
  const { ownership, host } = state;
  const { row, phase } = ownership;
  if (row === undefined || phase !== 'active' || !hasValidLease(state, now)) return [];
  const others = row.members.map((member) => member.host).filter((id) => id !== host.id);
  const getSilence = (id: string): number =>
    now - (ownership.observedLeases.get(id)?.firstSeenAt ?? now);
  const silent = others.filter((id) => getSilence(id) >= LEASE_TTL_MS * CLOCK_DRIFT_FACTOR);
  if (silent.length === 0) return [];
  const survivors = row.members.map((member) => member.host).filter((id) => !silent.includes(id));
  const rank = getRendezvousOrder(`remove/${row.epoch}`, survivors).indexOf(host.id);
  const wait = LEASE_TTL_MS * CLOCK_DRIFT_FACTOR + rank * LEASE_RENEWAL_INTERVAL_MS;
  const removed = silent.filter(
    (id) => getSilence(id) >= wait && !hasPromisedNotToRemove(state, id, now),
  );
  const removal =
    removed.length === 0
      ? undefined
      : newMemberRemoval(state, removed, getVersions(state, removed));
  if (removal === undefined) return [];
  return [
    newLog('warn', 'removing members that stopped renewing their leases', { removed }),
    removal,
  ];
}

function getVersions(state: State, hosts: string[]): Map<string, string> {
  return new Map(hosts.map((id) => [id, state.ownership.observedLeases.get(id)?.version ?? '']));
}

function recordRenewal(state: State, id: string, lease: Lease, version: string, now: number): void {
  const { observedLeases } = state.ownership;
  const { incarnation, renewal } = lease;
  const known = observedLeases.get(id);
  if (known?.incarnation === incarnation && known.renewal === renewal) return;
  observedLeases.set(id, { incarnation, renewal, version, firstSeenAt: now });
}

function isAbandoned(state: State, id: string, now: number): boolean {
  const firstSeenAt = state.ownership.observedLeases.get(id)?.firstSeenAt ?? now;
  return firstSeenAt + LEASE_ROW_RETENTION_MS <= now;
}

function newLeaseDeletion({ key, version }: StoredRow): Effect {
  const condition = { type: 'version' as const, version };
  return {
    type: 'callTable',
    call: { type: 'write', writes: [{ type: 'delete', key, condition }] },
    purpose: { type: 'deleteLease' },
  };
}
