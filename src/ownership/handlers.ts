import type { Effect } from '../core/effects.ts';
import type { MessageHandlers, TableAnswerHandlers, TimerHandlers } from '../core/handlers.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { adoptRow, applyOwnership, getGivenUpEpoch, hearRow, tellEpoch } from './adopt.ts';
import {
  LEASE_RENEW_MS,
  LEASE_SCAN_LIMIT,
  PAUSE_MS,
  RENEW_RETRY_MS,
  TURN_MS,
  ZONE_PREFIX,
  ZONE_SCAN_MS,
} from './constants.ts';
import { askForHandovers, installHandover, sendHandovers, takeHandover } from './handover.ts';
import { acknowledge } from './holdings.ts';
import { continueRead, continueWrite, readRow, startRenewal } from './lease.ts';
import { continueLeaving } from './leave.ts';
import { answerAsk, askForPromises, keepPromise } from './promises.ts';
import { newKnownRow } from './rows.ts';
import { type OwnershipPurpose, type OwnershipTimer, ZoneRow } from './types.ts';
import { watchLeases } from './watch.ts';
import { continueRow, continueRowWrite } from './zoneRow.ts';

type OwnershipMessage =
  | 'zoneRowSeen'
  | 'epochSeen'
  | 'handoverAsked'
  | 'handover'
  | 'handoverTaken'
  | 'promiseAsked'
  | 'promiseGiven'
  | 'promiseRefused';

/** Starts the lease and the zone row; without a table this host owns every engine. */
export function startOwnership(state: State, now: number): Effect[] {
  const { ownership, policy } = state;
  if (policy.isAlone === true) return applyOwnership(state, now);
  ownership.mode = 'zoned';
  ownership.turnAt = now;
  schedule(state, now, { type: 'ownershipTurn' });
  schedule(state, now, { type: 'renewLease' });
  schedule(state, now, { type: 'scanZones' });
  return [];
}

/** Notes a turn of the loop; a long gap since the last one is a pause. Call before each event. */
export function noteTurn({ ownership }: State, now: number): void {
  if (now - ownership.turnAt > PAUSE_MS && ownership.turnAt !== -Infinity) {
    ownership.resumedAt = now;
  }
  ownership.turnAt = now;
}

export const ownershipTimers: TimerHandlers<OwnershipTimer['type']> = {
  ownershipTurn: (state, _timer, now) => {
    const { ownership } = state;
    schedule(state, now + TURN_MS, { type: 'ownershipTurn' });
    const effects = applyOwnership(state, now);
    if (ownership.confirmedAt < ownership.resumedAt) effects.push(...startRenewal(state, now));
    // Unload orders that delayed the acknowledgement have ended.
    const before = ownership.givenUpEpoch;
    if (before < getGivenUpEpoch(state, now)) effects.push(...tellEpoch(state, now));
    return [
      ...effects,
      ...askForPromises(state, now),
      ...askForHandovers(state, now),
      ...continueLeaving(state, now),
    ];
  },
  renewLease: (state, _timer, now) => {
    const dueAt = state.ownership.confirmedAt + LEASE_RENEW_MS;
    const isRenewed = dueAt > now;
    schedule(state, isRenewed ? dueAt : now + RENEW_RETRY_MS, { type: 'renewLease' });
    return isRenewed ? [] : startRenewal(state, now);
  },
  readZoneRow: (state, { renewedAt }) => [readRow(state, renewedAt)],
  scanZones: (state, _timer, now) => {
    schedule(state, now + ZONE_SCAN_MS, { type: 'scanZones' });
    return [
      {
        type: 'callTable',
        call: { type: 'scan', prefix: ZONE_PREFIX, after: '', limit: LEASE_SCAN_LIMIT },
        purpose: { type: 'scanZones' },
      },
    ];
  },
  handedOrderExpiry: (state, { engine, model, at }) => {
    const owned = state.grants.owned.get(engine);
    if (owned?.unloading.get(model) === at) owned.unloading.delete(model);
    return [];
  },
};

export const ownershipTableHandlers: TableAnswerHandlers<OwnershipPurpose['type']> = {
  readLease: (state, purpose, answer, { now }) => continueRead(state, purpose, answer, now),
  writeLease: (state, purpose, answer, { sentAt }) => continueWrite(state, purpose, answer, sentAt),
  deleteLease: () => [],
  scanLeases: (state, _purpose, answer, { now }) =>
    answer.type === 'ok' ? watchLeases(state, answer.rows, now) : [],
  readZoneRow: (state, { renewedAt }, answer, { now }) =>
    continueRow(state, renewedAt, answer, now),
  writeZoneRow: (state, purpose, answer, { now }) => continueRowWrite(state, purpose, answer, now),
  scanZones: (state, _purpose, answer, { now }) => {
    if (answer.type !== 'ok') return [];
    return answer.rows.flatMap(({ key, value, version }) => {
      const row = ZoneRow.safeParse(value).data;
      const zone = key.slice(ZONE_PREFIX.length);
      if (row === undefined) return [];
      if (zone === state.host.zone) return adoptRow(state, row, version, now);
      const { foreign } = state.ownership;
      if ((foreign.get(zone)?.row.epoch ?? 0) < row.epoch) foreign.set(zone, newKnownRow(row, now));
      return [];
    });
  },
};

export const ownershipMessages: MessageHandlers<OwnershipMessage> = {
  zoneRowSeen: (state, message, from, now) => hearRow(state, message, from, now),
  epochSeen: (state, { incarnation, epoch }, from, now) => {
    const isNew = acknowledge(state, { host: from, incarnation }, epoch, now);
    return isNew ? applyOwnership(state, now) : [];
  },
  handoverAsked: (state, { engines }, _from, now) => sendHandovers(state, now, engines),
  handover: (state, handover, from, now) => {
    const effects = takeHandover(state, handover, from, now);
    effects.push(...applyOwnership(state, now));
    // A late handover adds the pins to an engine that is owned already.
    if (state.ownership.received.get(handover.engine) === handover) {
      installHandover(state, handover, now);
    }
    return effects;
  },
  handoverTaken: (state, { engine }) => {
    const kept = state.ownership.outgoing.get(engine);
    if (kept !== undefined) kept.isTaken = true;
    return [];
  },
  promiseAsked: (state, asked, from, now) => answerAsk(state, asked, from, now),
  promiseGiven: (state, { ask, epoch }, from) => {
    keepPromise(state, from, ask, epoch);
    return [];
  },
  promiseRefused: () => [],
};
