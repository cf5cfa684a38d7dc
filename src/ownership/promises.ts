import { sendMessage } from '../core/sendMessage.ts';
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

const MAX_TRACKED_REQUESTS = 16;

/** Whether all other members of the last known row have promised not to remove this host. */
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

/** Requests promises from all other members when the lease is about to expire. */
export function requestPromises(state: State, now: number): Effect[] {
  const { ownership, host } = state;
  const { row } = ownership;
  const isNeeded = ownership.leaseValidUntil - PROMISE_REQUEST_LEAD_MS <= now;
  const isDue = ownership.promisesRequestedAt + PROMISE_REQUEST_INTERVAL_MS <= now;
  if (row === undefined || !isNeeded || !isDue || !isMember(state)) return [];
  if (ownership.phase !== 'active') return [];
  ownership.promisesRequestedAt = now;
  const requestNumber = ownership.nextPromiseRequest++;
  ownership.promiseRequestsSentAt.set(requestNumber, now);
  ownership.promiseRequestsSentAt.delete(requestNumber - MAX_TRACKED_REQUESTS);
  return row.members
    .filter((member) => member.host !== host.id)
    .map((member) =>
      sendMessage(state, member.host, {
        type: 'promiseAsked',
        ask: requestNumber,
        epoch: row.epoch,
        incarnation: host.incarnation,
      }),
    );
}

/** Gives a promise; refuses it if this host knows another row or is removing the requester. */
export function answerPromiseRequest(
  state: State,
  request: PromiseAsked,
  from: string,
  now: number,
): Effect[] {
  const { ownership } = state;
  const { ask, epoch, incarnation } = request;
  const { row, pendingWrite } = ownership;
  const isRequesterMember = row?.members.some((member) =>
    isSameMember(member, { host: from, incarnation }),
  );
  if (
    row?.epoch === epoch &&
    isRequesterMember &&
    pendingWrite?.removedHosts.includes(from) !== true
  ) {
    // The requester counts from its request; this side counts longer, as clock rates differ.
    ownership.promisedUntil.set(from, now + PROMISE_TTL_MS * CLOCK_DRIFT_FACTOR);
    return [sendMessage(state, from, { type: 'promiseGiven', ask, epoch })];
  }
  const refusal = sendMessage(state, from, {
    type: 'promiseRefused',
    ask,
    epoch: row?.epoch ?? 0,
  });
  if (row === undefined || row.epoch <= epoch) return [refusal];
  return [refusal, sendMessage(state, from, newZoneRowAnnouncement(state))];
}

/** Records a received promise, which is valid from the time at which its request was sent. */
export function recordPromise(
  state: State,
  from: string,
  requestNumber: number,
  epoch: number,
): void {
  const { ownership } = state;
  const sentAt = ownership.promiseRequestsSentAt.get(requestNumber);
  const known = ownership.receivedPromises.get(from);
  if (sentAt === undefined || (known !== undefined && known.sentAt >= sentAt)) return;
  ownership.receivedPromises.set(from, { sentAt, until: sentAt + PROMISE_TTL_MS, epoch });
}

/** Whether a promise of this host not to remove `host` is still valid. */
export function hasPromisedNotToRemove(state: State, host: string, now: number): boolean {
  return (state.ownership.promisedUntil.get(host) ?? -Infinity) > now;
}
