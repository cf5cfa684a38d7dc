import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EndpointView } from '../fleet/types.ts';
import { isRoutable } from '../fleet/endpointChoice.ts';
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
  ReservationRequest,
  WaitReason,
  ReservationRefusalReason,
  QueuedReservation,
} from './types.ts';
import { canSendPrompt, expirePrefills, getPrefillBacklogMs, completePrefill } from './prefill.ts';
import { sortReservationQueue } from './reservationQueue.ts';
import { scheduleAnnouncement } from './engineStatus.ts';

/** Takes up an ask, or refuses it when this host cannot decide about the engine. */
export function queueReservation(
  state: State,
  ask: ReservationRequest,
  from: string,
  now: number,
): Effect[] {
  const owned = state.residency.owned.get(ask.engine);
  const view = state.fleet.views.get(ask.engine);
  if (owned === undefined || view === undefined) return refusePlace(state, ask, from, 'notOwner');
  if (!isRoutable(view)) return refusePlace(state, ask, from, 'leaving');
  if (ask.adapter !== '') state.residency.popularity.recordRequest(ask.adapter, 'ordinary', 0, now);
  owned.queue.push({
    ...ask,
    from,
    arrivedAt: now,
    goalAt: now + ask.goalMs,
    deadlineAt: now + ask.remainingMs,
    isAcknowledged: false,
    waitedFor: undefined,
  });
  return [...serveReservations(state, owned, now), ...tellQueued(state, owned)];
}

/** Gives the places that are free and orders what the other asks wait for. */
export function serveReservations(state: State, owned: EngineResidency, now: number): Effect[] {
  const engine = getOwnedEngineClass(state, owned);
  if (engine === undefined) return [];
  const effects: Effect[] = [];
  removeExpired(owned, now);
  expirePrefills(owned, now);
  owned.queue = owned.queue.filter(({ deadlineAt }) => deadlineAt - MIN_REMAINING_MS > now);
  sortReservationQueue(owned, now);
  const left: QueuedReservation[] = [];
  for (const ask of owned.queue) {
    if (isBeingReplaced(state, owned, ask)) {
      effects.push(...refusePlace(state, ask, ask.from, 'replacing'));
      continue;
    }
    const obstacle = getObstacle(state, owned, engine, ask);
    if (obstacle === undefined) effects.push(...givePlace(state, owned, ask, now));
    else {
      ask.waitedFor = obstacle;
      left.push(ask);
    }
  }
  owned.queue = left;
  effects.push(...issueNextOrder(state, owned, engine, now));
  if (left.length > 0) scheduleReservationServing(state, owned, now + SERVE_INTERVAL_MS, now);
  scheduleAnnouncement(state, now);
  return effects;
}

/** Returns what the engines of an endpoint's service have in common; undefined for plain services. */
export function getEngineClass(state: State, { endpoint }: EndpointView): EngineClass | undefined {
  return state.routeIndex.current?.services.get(endpoint.service)?.engine;
}

/** The same for an owned engine; undefined as well when its endpoint is not known any more. */
export function getOwnedEngineClass(
  state: State,
  { id }: EngineResidency,
): EngineClass | undefined {
  const view = state.fleet.views.get(id);
  return view === undefined ? undefined : getEngineClass(state, view);
}

/** Refuses every ask of an engine that this host does not decide about any more. */
export function refuseQueuedReservations(
  state: State,
  owned: EngineResidency,
  reason: ReservationRefusalReason,
): Effect[] {
  const asks = owned.queue;
  owned.queue = [];
  return asks.flatMap((ask) => refusePlace(state, ask, ask.from, reason));
}

/** Gives back the place of a request, or withdraws its ask. */
export function releaseReservation(owned: EngineResidency, request: string): void {
  owned.queue = owned.queue.filter((ask) => ask.request !== request);
  const place = owned.reservations.get(request);
  if (place === undefined) return;
  owned.reservations.delete(request);
  completePrefill(owned, place);
  owned.reservedTokens -= place.tokens;
  const copy = owned.copies.get(place.adapter);
  if (copy !== undefined) copy.reservations = Math.max(0, copy.reservations - 1);
}

/** Drops the asks and places of a host that cannot be heard; engines protect what runs for it. */
export function releaseHostReservations(state: State, host: string, now: number): Effect[] {
  const effects: Effect[] = [];
  for (const owned of state.residency.owned.values()) {
    const held = [
      ...owned.reservations.values(),
      ...owned.queue.map((ask) => ({ ...ask, host: ask.from })),
    ];
    const requests = held.filter((place) => place.host === host);
    if (requests.length === 0) continue;
    for (const { request } of requests) releaseReservation(owned, request);
    effects.push(...serveReservations(state, owned, now));
  }
  return effects;
}

/** Has the queue served at `at`, unless it will be served before anyway. */
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

/** Whether an ask wants a newer version than the one that other requests still run on here. */
function isBeingReplaced(state: State, owned: EngineResidency, ask: QueuedReservation): boolean {
  const copy = owned.copies.get(ask.adapter);
  if (copy?.phase !== 'resident' || copy.reservations === 0) return false;
  return !canServeVersion(copy, getWantedVersion(state, ask));
}

/** Returns the version that an ask needs: the newest that its host or this one knows; 0 for any. */
export function getWantedVersion(state: State, { adapter, version }: ReservationRequest): number {
  return Math.max(version, state.residency.versions.get(adapter) ?? 0);
}

/** Returns what keeps an ask from running now; undefined when nothing does. */
function getObstacle(
  state: State,
  owned: EngineResidency,
  engine: EngineClass,
  ask: QueuedReservation,
): WaitReason | undefined {
  if (ask.adapter !== '') {
    const copy = owned.copies.get(ask.adapter);
    if (copy === undefined || !canServeVersion(copy, getWantedVersion(state, ask)))
      return 'adapter';
  }
  if (owned.reservations.size >= engine.batch) return 'batch';
  if (
    owned.reservations.size > 0 &&
    owned.reservedTokens + getTokens(ask) > engine.memoryTokens * USABLE_MEMORY_SHARE
  ) {
    return 'memory';
  }
  return canSendPrompt(owned, ask.promptTokens) ? undefined : 'prompts';
}

function givePlace(
  state: State,
  owned: EngineResidency,
  ask: QueuedReservation,
  now: number,
): Effect[] {
  const tokens = getTokens(ask);
  owned.reservations.set(ask.request, {
    request: ask.request,
    host: ask.from,
    adapter: ask.adapter,
    tokens,
    promptTokens: ask.promptTokens,
    isPrefilling: true,
    grantedAt: now,
    expiresAt: ask.deadlineAt + RESERVATION_GRACE_MS,
  });
  owned.reservedTokens += tokens;
  owned.pendingPrefillTokens += ask.promptTokens;
  const copy = owned.copies.get(ask.adapter);
  if (copy !== undefined) {
    copy.reservations += 1;
    copy.lastUsedAt = now;
  }
  return [
    newLog('debug', 'place given', {
      requestId: ask.request,
      engine: owned.id,
      adapter: ask.adapter,
      version: copy?.version,
      waitedMs: Math.round(now - ask.arrivedAt),
      waitedFor: ask.waitedFor,
      places: owned.reservations.size,
      tokens: Math.round(owned.reservedTokens),
      backlogMs: Math.round(getPrefillBacklogMs(owned)),
      slots: owned.copies.size,
      queued: owned.queue.length,
    }),
    sendMessage(state, ask.from, {
      type: 'placeGiven',
      request: ask.request,
      ask: ask.ask,
      engine: owned.id,
      version: copy?.version,
      stallMs: Math.round(now - ask.arrivedAt),
    }),
  ];
}

function getTokens({ promptTokens, outputTokens }: ReservationRequest): number {
  return promptTokens + outputTokens * EXPECTED_OUTPUT_SHARE;
}

function removeExpired(owned: EngineResidency, now: number): void {
  for (const { request, expiresAt } of [...owned.reservations.values()]) {
    if (expiresAt <= now) releaseReservation(owned, request);
  }
}

/** Tells the askers that their asks wait, so that they do not take this host for dead. */
function tellQueued(state: State, owned: EngineResidency): Effect[] {
  return owned.queue
    .filter((ask) => !ask.isAcknowledged)
    .map((ask) => {
      ask.isAcknowledged = true;
      const { request, ask: number, from } = ask;
      return sendMessage(state, from, { type: 'placeQueued', request, ask: number });
    });
}

function refusePlace(
  state: State,
  { request, ask, engine }: ReservationRequest,
  from: string,
  reason: ReservationRefusalReason,
): Effect[] {
  return [
    newCount('fireflywick_decisions_total', { decision: 'placeRefused', reason }),
    sendMessage(state, from, { type: 'placeRefused', request, ask, engine, reason }),
  ];
}
