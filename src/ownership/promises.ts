import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import {
  PROMISE_REQUEST_INTERVAL_MS,
  PROMISE_REQUEST_LEAD_MS,
  PROMISE_TTL_MS,
  CLOCK_DRIFT_FACTOR,
} from './constants.ts';
import { isMember, isSameMember, newZoneRowAnnouncement } from './rows.ts';
import type { PromiseAsked } from './types.ts';

const KEPT_ASKS = 16;

/** Whether every other member of the last known row has promised not to remove this host. */
export function hasPromisesOfAllMembers(state: State, now: number): boolean {
  const { ownership, host } = state;
  return (
    ownership.row?.members.every((member) => {
      if (member.host === host.id) return true;
      const promise = ownership.receivedPromises.get(member.host);
      return (
        promise?.epoch === ownership.row?.epoch &&
        (promise?.until ?? 0) > now &&
        (promise?.sentAt ?? 0) >= ownership.resumedAt
      );
    }) ?? false
  );
}

/** Asks all other members for promises when the lease is about to end. */
export function requestPromises(state: State, now: number): Effect[] {
  const { ownership, host } = state;
  const { row } = ownership;
  const isNeeded = ownership.leaseValidUntil - PROMISE_REQUEST_LEAD_MS <= now;
  const isDue = ownership.promisesRequestedAt + PROMISE_REQUEST_INTERVAL_MS <= now;
  if (row === undefined || !isNeeded || !isDue || !isMember(state)) return [];
  if (ownership.phase !== 'active') return [];
  ownership.promisesRequestedAt = now;
  const ask = ownership.nextPromiseRequest++;
  ownership.promiseRequestsSentAt.set(ask, now);
  ownership.promiseRequestsSentAt.delete(ask - KEPT_ASKS);
  return row.members
    .filter((member) => member.host !== host.id)
    .map((member) =>
      deliver(state, member.host, {
        type: 'promiseAsked',
        ask,
        epoch: row.epoch,
        incarnation: host.incarnation,
      }),
    );
}

/** Gives a promise, or refuses it where this host knows another row or is removing the asker. */
export function answerPromiseRequest(
  state: State,
  asked: PromiseAsked,
  from: string,
  now: number,
): Effect[] {
  const { ownership } = state;
  const { ask, epoch, incarnation } = asked;
  const { row, pendingWrite: unsettled } = ownership;
  const isAskerMember = row?.members.some((member) =>
    isSameMember(member, { host: from, incarnation }),
  );
  if (row?.epoch === epoch && isAskerMember && unsettled?.removedHosts.includes(from) !== true) {
    // The asker counts from its sending; this side counts longer, for clocks of different speed.
    ownership.promisedUntil.set(from, now + PROMISE_TTL_MS * CLOCK_DRIFT_FACTOR);
    return [deliver(state, from, { type: 'promiseGiven', ask, epoch })];
  }
  const refusal = deliver(state, from, {
    type: 'promiseRefused',
    ask,
    epoch: row?.epoch ?? 0,
  });
  if (row === undefined || row.epoch <= epoch) return [refusal];
  return [refusal, deliver(state, from, newZoneRowAnnouncement(state))];
}

/** Keeps a promise; it holds from the time at which it was asked for. */
export function recordPromise(state: State, from: string, ask: number, epoch: number): void {
  const { ownership } = state;
  const sentAt = ownership.promiseRequestsSentAt.get(ask);
  const kept = ownership.receivedPromises.get(from);
  if (sentAt === undefined || (kept !== undefined && kept.sentAt >= sentAt)) return;
  ownership.receivedPromises.set(from, { sentAt, until: sentAt + PROMISE_TTL_MS, epoch });
}

/** Whether this host has promised not to remove `host` now. */
export function hasPromisedNotToRemove(state: State, host: string, now: number): boolean {
  return (state.ownership.promisedUntil.get(host) ?? -Infinity) > now;
}
