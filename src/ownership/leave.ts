import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { HANDOVER_ACK_TIMEOUT_MS } from './constants.ts';
import { isMember } from './rows.ts';
import { newMemberRemoval } from './zoneRow.ts';

/** Starts a graceful leave of this host; `hasLeftOwnership` reports its end. */
export function leaveOwnership(state: State): Effect[] {
  const { ownership } = state;
  if (ownership.phase !== 'active') return [];
  ownership.phase = ownership.mode === 'standalone' ? 'left' : 'leaving';
  return [newLog('info', 'host is leaving the zone row')];
}

/**
 * Whether this host is out of the row and its handovers are acknowledged or timed out. Stays false
 * while the table is unavailable, so the caller applies its own time limit.
 */
export function hasLeftOwnership(state: State, now: number): boolean {
  const { ownership } = state;
  if (ownership.phase === 'superseded' || ownership.mode === 'standalone') return true;
  if (ownership.phase !== 'left') return false;
  const areAcknowledged = [...ownership.outgoingHandovers.values()].every(
    (outgoing) => outgoing.isAcknowledged,
  );
  return areAcknowledged || ownership.leftAt + HANDOVER_ACK_TIMEOUT_MS <= now;
}

/** Removes a leaving host from the row once no unload order is in flight. */
export function advanceLeave(state: State, now: number): Effect[] {
  const { ownership, grants, host } = state;
  if (ownership.phase !== 'leaving') return [];
  if (ownership.row === undefined || !isMember(state)) {
    ownership.phase = 'left';
    ownership.leftAt = now;
    return [];
  }
  for (const owned of grants.owned.values()) if (owned.unloading.size > 0) return [];
  const leases = new Map([[host.id, ownership.leaseVersion ?? '']]);
  const removal = newMemberRemoval(state, [host.id], leases);
  return removal === undefined ? [] : [removal];
}
