import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { HANDOVER_ACK_TIMEOUT_MS } from './constants.ts';
import { isMember } from './rows.ts';
import { newMemberRemoval } from './zoneRow.ts';

/** Starts giving up all engines of this host; `hasLeft` tells when it is done. */
export function leaveOwnership(state: State): Effect[] {
  const { ownership } = state;
  if (ownership.phase !== 'active') return [];
  ownership.phase = ownership.mode === 'standalone' ? 'left' : 'leaving';
  return [newLog('info', 'host leaves the zone row')];
}

/**
 * Whether the row names this host no more and its pins were taken, or nobody is there to take them.
 * Stays false while the table is down: the caller has its own limit.
 */
export function hasLeftOwnership(state: State, now: number): boolean {
  const { ownership } = state;
  if (ownership.phase === 'superseded' || ownership.mode === 'standalone') return true;
  if (ownership.phase !== 'left') return false;
  const isTaken = [...ownership.outgoingHandovers.values()].every((kept) => kept.isAcknowledged);
  return isTaken || ownership.leftAt + HANDOVER_ACK_TIMEOUT_MS <= now;
}

/** Takes the next step of leaving: waits for unload orders, removes this host from the row. */
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
