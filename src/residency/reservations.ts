import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EndpointView } from '../fleet/types.ts';
import { isRoutable, runsOtherSoftware } from '../fleet/endpointChoice.ts';
import { queuePermit, refuseLongWait } from '../limits/permitQueue.ts';
import { getPermits, isLimited, tryTakePermit } from '../limits/permits.ts';
import type { EngineClass } from '../routes/types.ts';
import {
  USABLE_MEMORY_SHARE,
  MIN_REMAINING_MS,
  EXPECTED_OUTPUT_SHARE,
  RESERVATION_GRACE_MS,
  SERVE_INTERVAL_MS,
} from './constants.ts';
import { canServeVersion } from './copies.ts';
import { issueNextOrder } from './adapterOrders.ts';
import type {
  EngineResidency,
  PermitRefusal,
  ReservationRequest,
  WaitReason,
  ReservationRefusalReason,
  QueuedReservation,
} from './types.ts';
import {
  canSendPrompt,
  completePrefill,
  expirePrefills,
  getPrefillBacklogMs,
  startPrefill,
  updateReading,
} from './prefill.ts';
import { moveReservation } from './reservationMoves.ts';
import { findOverusers, recordTenantUse } from './tenantShares.ts';
import { sortReservationQueue } from './reservationQueue.ts';
import { scheduleAnnouncement } from './engineStatus.ts';

/**
 * Queues a reservation request; refuses it if the engine is leaving or not owned by this host. At an
 * endpoint of a plain service, a request waits only for a permit.
 */
export function queueReservation(
  state: State,
  message: ReservationRequest,
  from: string,
  now: number,
): Effect[] {
  const askedView = state.fleet.views.get(message.engine);
  if (askedView !== undefined && getEngineClass(state, askedView) === undefined)
    return queuePermit(state, askedView, message, from, now);
  return queueEngineReservation(state, moveReservation(state, message, now), from, now);
}

function queueEngineReservation(
  state: State,
  message: ReservationRequest,
  from: string,
  now: number,
): Effect[] {
  const owned = state.residency.owned.get(message.engine);
  const view = state.fleet.views.get(message.engine);
  if (owned === undefined || view === undefined)
    return refuseReservation(state, message, from, 'notOwner');
  if (!isRoutable(view)) return refuseReservation(state, message, from, 'leaving');
  if (runsOtherSoftware(view, message.softwareVersion))
    return refuseReservation(state, message, from, 'otherSoftware');
  if (message.adapter !== '')
    state.residency.popularity.recordRequest(message.adapter, 'ordinary', 0, now);
  owned.queue.push({
    ...message,
    from,
    arrivedAt: now,
    goalAt: now + message.goalMs,
    deadlineAt: now + message.remainingMs,
    isAcknowledged: false,
    waitedFor: undefined,
  });
  return [...serveReservations(state, owned, now), ...acknowledgeQueued(state, owned)];
}

/** Grants the reservations that are possible now and orders the adapters that the others wait for. */
export function serveReservations(state: State, owned: EngineResidency, now: number): Effect[] {
  const engine = getOwnedEngineClass(state, owned);
  if (engine === undefined) return [];
  const effects: Effect[] = [];
  removeExpiredReservations(owned, now);
  expirePrefills(owned, now);
  updateReading(owned, now);
  owned.queue = owned.queue.filter(({ deadlineAt }) => deadlineAt - MIN_REMAINING_MS > now);
  const hasRanks = state.routeIndex.current?.tenantsByKey !== undefined;
  sortReservationQueue(owned, { hasRanks, overusers: findOverusers(state, owned, now) }, now);
  const view = state.fleet.views.get(owned.id);
  const permits =
    view === undefined || !isLimited(view) ? undefined : getPermits(state, view, 'owner', now);
  // A limited engine serves few requests, so that the order of the routes decides which.
  if (permits !== undefined) owned.queue.sort((a, b) => (a.priority ?? 0) - (b.priority ?? 0));
  const left: QueuedReservation[] = [];
  for (const queued of owned.queue) {
    // The engine may have restarted with other software.
    if (runsOtherSoftware(view, queued.softwareVersion)) {
      effects.push(...refuseReservation(state, queued, queued.from, 'otherSoftware'));
      continue;
    }
    if (isBeingReplaced(state, owned, queued)) {
      effects.push(...refuseReservation(state, queued, queued.from, 'replacing'));
      continue;
    }
    const waitReason =
      getWaitReason(state, owned, engine, queued) ??
      (permits === undefined || tryTakePermit(permits, now) ? undefined : 'limit');
    if (waitReason === undefined) {
      effects.push(...grantReservation(state, owned, queued, now));
      continue;
    }
    const refusal =
      permits === undefined || view === undefined
        ? undefined
        : refuseLongWait(state, view, permits, queued, left.length, now);
    if (refusal !== undefined) {
      effects.push(...refuseReservation(state, queued, queued.from, 'limited', refusal));
      continue;
    }
    queued.waitedFor = waitReason;
    left.push(queued);
  }
  owned.queue = left;
  effects.push(...issueNextOrder(state, owned, engine, now));
  if (left.length > 0) scheduleReservationServing(state, owned, now + SERVE_INTERVAL_MS, now);
  scheduleAnnouncement(state, now);
  return effects;
}

/** Returns the engine class of an endpoint's service; undefined for plain services. */
export function getEngineClass(state: State, { endpoint }: EndpointView): EngineClass | undefined {
  return state.routeIndex.current?.services.get(endpoint.service)?.engine;
}

/** Returns the engine class of an owned engine; undefined if its endpoint is no longer known. */
export function getOwnedEngineClass(
  state: State,
  { id }: EngineResidency,
): EngineClass | undefined {
  const view = state.fleet.views.get(id);
  return view === undefined ? undefined : getEngineClass(state, view);
}

/** Refuses all queued reservations of an engine. */
export function refuseQueuedReservations(
  state: State,
  owned: EngineResidency,
  reason: ReservationRefusalReason,
): Effect[] {
  const requests = owned.queue;
  owned.queue = [];
  return requests.flatMap((queued) => refuseReservation(state, queued, queued.from, reason));
}

/** Releases the reservation of a request, or removes it from the queue. */
export function releaseReservation(owned: EngineResidency, request: string): void {
  owned.queue = owned.queue.filter((queued) => queued.request !== request);
  const reservation = owned.reservations.get(request);
  if (reservation === undefined) return;
  owned.reservations.delete(request);
  completePrefill(owned, reservation);
  owned.reservedTokens -= reservation.tokens;
  const copy = owned.copies.get(reservation.adapter);
  if (copy !== undefined) copy.reservations = Math.max(0, copy.reservations - 1);
}

/**
 * Releases the reservations of an unreachable host. Its requests may still run: an engine unloads an
 * adapter only after the adapter's running requests have ended.
 */
export function releaseHostReservations(state: State, host: string, now: number): Effect[] {
  const effects: Effect[] = [];
  for (const owned of state.residency.owned.values()) {
    const held = [
      ...owned.reservations.values(),
      ...owned.queue.map((queued) => ({ ...queued, host: queued.from })),
    ];
    const requests = held.filter((reservation) => reservation.host === host);
    if (requests.length === 0) continue;
    for (const { request } of requests) releaseReservation(owned, request);
    effects.push(...serveReservations(state, owned, now));
  }
  return effects;
}

/** Schedules serving of the queue at `at`, unless it is scheduled earlier. */
export function scheduleReservationServing(
  state: State,
  owned: EngineResidency,
  at: number,
  now: number,
): void {
  if (owned.nextServeAt > now && owned.nextServeAt <= at) return;
  owned.nextServeAt = at;
  schedule(state, at, { type: 'serveReservations', engine: owned.id });
}

/** Whether a request needs a newer version while other requests still run on the old one. */
function isBeingReplaced(state: State, owned: EngineResidency, queued: QueuedReservation): boolean {
  const copy = owned.copies.get(queued.adapter);
  if (copy?.phase !== 'resident' || copy.reservations === 0) return false;
  return !canServeVersion(copy, getWantedVersion(state, queued));
}

/** Returns the version that a request needs: the newest known to its host or this one; 0 for any. */
export function getWantedVersion(state: State, { adapter, version }: ReservationRequest): number {
  return Math.max(version, state.residency.versions.get(adapter) ?? 0);
}

/** Returns what a request has to wait for; undefined if it can be granted now. */
function getWaitReason(
  state: State,
  owned: EngineResidency,
  engine: EngineClass,
  queued: QueuedReservation,
): WaitReason | undefined {
  if (queued.adapter !== '') {
    const copy = owned.copies.get(queued.adapter);
    if (copy === undefined || !canServeVersion(copy, getWantedVersion(state, queued)))
      return 'adapter';
  }
  if (owned.reservations.size >= engine.batch) return 'batch';
  if (
    owned.reservations.size > 0 &&
    owned.reservedTokens + getReservedTokens(queued) > engine.memoryTokens * USABLE_MEMORY_SHARE
  ) {
    return 'memory';
  }
  return canSendPrompt(owned, queued.promptTokens) ? undefined : 'prompts';
}

function grantReservation(
  state: State,
  owned: EngineResidency,
  queued: QueuedReservation,
  now: number,
): Effect[] {
  const tokens = getReservedTokens(queued);
  owned.reservations.set(queued.request, {
    request: queued.request,
    host: queued.from,
    adapter: queued.adapter,
    tokens,
    promptTokens: queued.promptTokens,
    isPrefilling: true,
    grantedAt: now,
    expiresAt: queued.deadlineAt + RESERVATION_GRACE_MS,
  });
  owned.reservedTokens += tokens;
  startPrefill(owned, queued.promptTokens);
  updateReading(owned, now);
  recordTenantUse(owned, queued.tenant, tokens, now);
  const copy = owned.copies.get(queued.adapter);
  if (copy !== undefined) {
    copy.reservations += 1;
    copy.lastUsedAt = now;
  }
  return [
    newLog('debug', 'reservation granted', {
      requestId: queued.request,
      engine: owned.id,
      adapter: queued.adapter,
      version: copy?.version,
      waitedMs: Math.round(now - queued.arrivedAt),
      waitedFor: queued.waitedFor,
      places: owned.reservations.size,
      tokens: Math.round(owned.reservedTokens),
      backlogMs: Math.round(getPrefillBacklogMs(owned)),
      slots: owned.copies.size,
      queued: owned.queue.length,
    }),
    sendMessage(state, queued.from, {
      type: 'placeGiven',
      request: queued.request,
      ask: queued.ask,
      engine: owned.id,
      version: copy?.version,
      startedAt: owned.startedAt,
      stallMs: Math.round(now - queued.arrivedAt),
    }),
  ];
}

/** Returns the tokens that a request takes of an engine's memory, as far as they can be foreseen. */
export function getReservedTokens({ promptTokens, outputTokens }: ReservationRequest): number {
  return promptTokens + outputTokens * EXPECTED_OUTPUT_SHARE;
}

function removeExpiredReservations(owned: EngineResidency, now: number): void {
  for (const { request, expiresAt } of [...owned.reservations.values()]) {
    if (expiresAt <= now) releaseReservation(owned, request);
  }
}

/** Acknowledges queued requests, so that their hosts do not take this host for unreachable. */
function acknowledgeQueued(state: State, owned: EngineResidency): Effect[] {
  return owned.queue
    .filter((queued) => !queued.isAcknowledged)
    .map((queued) => {
      queued.isAcknowledged = true;
      const { request, ask, from } = queued;
      return sendMessage(state, from, { type: 'placeQueued', request, ask });
    });
}

function refuseReservation(
  state: State,
  { request, ask, engine }: ReservationRequest,
  from: string,
  reason: ReservationRefusalReason,
  limit?: PermitRefusal,
): Effect[] {
  return [
    newCount('fireflywick_decisions_total', { decision: 'placeRefused', reason }),
    sendMessage(state, from, { type: 'placeRefused', request, ask, engine, reason, limit }),
  ];
}
