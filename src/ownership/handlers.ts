import type { Effect } from '../core/effects.ts';
import type { MessageHandlers, TableAnswerHandlers, TimerHandlers } from '../core/handlers.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import {
  adoptZoneRow,
  updateOwnership,
  updateReleasedEpoch,
  receiveZoneRows,
  announceReleasedEpoch,
} from './rowAdoption.ts';
import {
  LEASE_RENEWAL_INTERVAL_MS,
  MAX_SCAN_ROWS,
  PAUSE_THRESHOLD_MS,
  RENEWAL_RETRY_MS,
  TICK_INTERVAL_MS,
  ZONE_KEY_PREFIX,
  ZONE_SCAN_INTERVAL_MS,
} from './constants.ts';
import { requestHandovers, installHandover, sendHandovers, acceptHandover } from './handover.ts';
import { recordAcknowledgedEpoch } from './acquiredEngines.ts';
import {
  handleLeaseReadAnswer,
  handleLeaseWriteAnswer,
  newZoneRowRead,
  startLeaseRenewal,
} from './lease.ts';
import { advanceLeave } from './leave.ts';
import { answerPromiseRequest, requestPromises, recordPromise } from './promises.ts';
import { newKnownZoneRow } from './rows.ts';
import { type OwnershipPurpose, type OwnershipTimer, ZoneRow } from './types.ts';
import { handleLeaseScan } from './leaseScan.ts';
import { handleZoneRowReadAnswer, handleZoneRowWriteAnswer } from './zoneRow.ts';

type OwnershipMessage =
  | 'zoneRowSeen'
  | 'epochSeen'
  | 'handoverAsked'
  | 'handover'
  | 'handoverTaken'
  | 'promiseAsked'
  | 'promiseGiven'
  | 'promiseRefused';

/** Starts the lease renewals and zone scans; a standalone host owns every engine from the start. */
export function startOwnership(state: State, now: number): Effect[] {
  const { ownership, policy } = state;
  if (policy.isStandalone === true) return updateOwnership(state, now);
  ownership.mode = 'clustered';
  ownership.lastTurnAt = now;
  schedule(state, now, { type: 'ownershipTick' });
  schedule(state, now, { type: 'renewLease' });
  schedule(state, now, { type: 'scanZones' });
  return [];
}

/** Records a turn of the event loop and detects pauses of the process. Call before each event. */
export function recordLoopTurn({ ownership }: State, now: number): void {
  if (now - ownership.lastTurnAt > PAUSE_THRESHOLD_MS && ownership.lastTurnAt !== -Infinity) {
    ownership.resumedAt = now;
  }
  ownership.lastTurnAt = now;
}

export const ownershipTimers: TimerHandlers<OwnershipTimer['type']> = {
  ownershipTick: (state, _timer, now) => {
    const { ownership } = state;
    schedule(state, now + TICK_INTERVAL_MS, { type: 'ownershipTick' });
    const effects = updateOwnership(state, now);
    if (ownership.leaseConfirmedAt < ownership.resumedAt)
      effects.push(...startLeaseRenewal(state, now));
    // The released epoch advances once the unload orders in flight have ended.
    const before = ownership.releasedEpoch;
    if (before < updateReleasedEpoch(state, now))
      effects.push(...announceReleasedEpoch(state, now));
    return [
      ...effects,
      ...requestPromises(state, now),
      ...requestHandovers(state, now),
      ...advanceLeave(state, now),
    ];
  },
  renewLease: (state, _timer, now) => {
    const dueAt = state.ownership.leaseConfirmedAt + LEASE_RENEWAL_INTERVAL_MS;
    const isRenewed = dueAt > now;
    schedule(state, isRenewed ? dueAt : now + RENEWAL_RETRY_MS, { type: 'renewLease' });
    return isRenewed ? [] : startLeaseRenewal(state, now);
  },
  readZoneRow: (state, { renewedAt }) => [newZoneRowRead(state, renewedAt)],
  scanZones: (state, _timer, now) => {
    schedule(state, now + ZONE_SCAN_INTERVAL_MS, { type: 'scanZones' });
    return [
      {
        type: 'callTable',
        call: { type: 'scan', prefix: ZONE_KEY_PREFIX, after: '', limit: MAX_SCAN_ROWS },
        purpose: { type: 'scanZones' },
      },
    ];
  },
  inheritedUnloadExpiry: (state, { engine, model, at }) => {
    const owned = state.grants.owned.get(engine);
    if (owned?.unloading.get(model) === at) owned.unloading.delete(model);
    return [];
  },
};

export const ownershipTableHandlers: TableAnswerHandlers<OwnershipPurpose['type']> = {
  readLease: (state, purpose, answer, { now }) =>
    handleLeaseReadAnswer(state, purpose, answer, now),
  writeLease: (state, purpose, answer, { sentAt }) =>
    handleLeaseWriteAnswer(state, purpose, answer, sentAt),
  deleteLease: () => [],
  scanLeases: (state, _purpose, answer, { now }) =>
    answer.type === 'ok' ? handleLeaseScan(state, answer.rows, now) : [],
  readZoneRow: (state, { renewedAt }, answer, { now }) =>
    handleZoneRowReadAnswer(state, renewedAt, answer, now),
  writeZoneRow: (state, purpose, answer, { now }) =>
    handleZoneRowWriteAnswer(state, purpose, answer, now),
  scanZones: (state, _purpose, answer, { now }) => {
    if (answer.type !== 'ok') return [];
    return answer.rows.flatMap(({ key, value, version }) => {
      const row = ZoneRow.safeParse(value).data;
      const zone = key.slice(ZONE_KEY_PREFIX.length);
      if (row === undefined) return [];
      if (zone === state.host.zone) return adoptZoneRow(state, row, version, now);
      const { otherZoneRows } = state.ownership;
      if ((otherZoneRows.get(zone)?.row.epoch ?? 0) < row.epoch)
        otherZoneRows.set(zone, newKnownZoneRow(row, now));
      return [];
    });
  },
};

export const ownershipMessages: MessageHandlers<OwnershipMessage> = {
  zoneRowSeen: (state, message, from, now) => receiveZoneRows(state, message, from, now),
  epochSeen: (state, { incarnation, epoch }, from, now) => {
    const isNew = recordAcknowledgedEpoch(state, { host: from, incarnation }, epoch, now);
    return isNew ? updateOwnership(state, now) : [];
  },
  handoverAsked: (state, { engines }, _from, now) => sendHandovers(state, now, engines),
  handover: (state, handover, from, now) => {
    const effects = acceptHandover(state, handover, from, now);
    effects.push(...updateOwnership(state, now));
    // The engine may have been acquired before its handover arrived.
    if (state.ownership.receivedHandovers.get(handover.engine) === handover) {
      installHandover(state, handover, now);
    }
    return effects;
  },
  handoverTaken: (state, { engine }) => {
    const outgoing = state.ownership.outgoingHandovers.get(engine);
    if (outgoing !== undefined) outgoing.isAcknowledged = true;
    return [];
  },
  promiseAsked: (state, request, from, now) => answerPromiseRequest(state, request, from, now),
  promiseGiven: (state, { ask, epoch }, from) => {
    recordPromise(state, from, ask, epoch);
    return [];
  },
  promiseRefused: () => [],
};
