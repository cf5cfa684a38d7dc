import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EndpointView } from '../fleet/types.ts';
import { isOpen } from '../fleet/choose.ts';
import type { EngineClass } from '../routes/types.ts';
import { MEMORY_SHARE, MIN_RUN_MS, OUTPUT_SHARE, PLACE_SLACK_MS, SERVE_MS } from './constants.ts';
import { isCurrent } from './copies.ts';
import { orderNext } from './orders.ts';
import type { OwnedEngine, PlaceAsked, PlaceObstacle, PlaceRefusal, QueuedPlace } from './types.ts';
import { canSendPrompt, expireReading, getBacklogMs, noteRead } from './prompts.ts';
import { sortQueue } from './queueOrder.ts';
import { tellSoon } from './told.ts';

/** Takes up an ask, or refuses it when this host cannot decide about the engine. */
export function queuePlace(state: State, ask: PlaceAsked, from: string, now: number): Effect[] {
  const owned = state.residency.owned.get(ask.engine);
  const view = state.fleet.views.get(ask.engine);
  if (owned === undefined || view === undefined) return refusePlace(state, ask, from, 'notOwner');
  if (!isOpen(view)) return refusePlace(state, ask, from, 'leaving');
  if (ask.adapter !== '') state.residency.popularity.recordRequest(ask.adapter, 'ordinary', 0, now);
  owned.queue.push({
    ...ask,
    from,
    arrivedAt: now,
    goalAt: now + ask.goalMs,
    deadlineAt: now + ask.remainingMs,
    isToldQueued: false,
    waitedFor: undefined,
  });
  return [...servePlaces(state, owned, now), ...tellQueued(state, owned)];
}

/** Gives the places that are free and orders what the other asks wait for. */
export function servePlaces(state: State, owned: OwnedEngine, now: number): Effect[] {
  const engine = getOwnedClass(state, owned);
  if (engine === undefined) return [];
  const effects: Effect[] = [];
  removeExpired(owned, now);
  expireReading(owned, now);
  owned.queue = owned.queue.filter(({ deadlineAt }) => deadlineAt - MIN_RUN_MS > now);
  sortQueue(owned, now);
  const left: QueuedPlace[] = [];
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
  effects.push(...orderNext(state, owned, engine, now));
  if (left.length > 0) wakeAt(state, owned, now + SERVE_MS, now);
  tellSoon(state, now);
  return effects;
}

/** Returns what the engines of an endpoint's service have in common; undefined for plain services. */
export function getEngineClass(state: State, { endpoint }: EndpointView): EngineClass | undefined {
  return state.routes.current?.services.get(endpoint.service)?.engine;
}

/** The same for an owned engine; undefined as well when its endpoint is not known any more. */
export function getOwnedClass(state: State, { id }: OwnedEngine): EngineClass | undefined {
  const view = state.fleet.views.get(id);
  return view === undefined ? undefined : getEngineClass(state, view);
}

/** Refuses every ask of an engine that this host does not decide about any more. */
export function refuseAll(state: State, owned: OwnedEngine, reason: PlaceRefusal): Effect[] {
  const asks = owned.queue;
  owned.queue = [];
  return asks.flatMap((ask) => refusePlace(state, ask, ask.from, reason));
}

/** Gives back the place of a request, or withdraws its ask. */
export function releasePlace(owned: OwnedEngine, request: string): void {
  owned.queue = owned.queue.filter((ask) => ask.request !== request);
  const place = owned.places.get(request);
  if (place === undefined) return;
  owned.places.delete(request);
  noteRead(owned, place);
  owned.tokens -= place.tokens;
  const copy = owned.copies.get(place.adapter);
  if (copy !== undefined) copy.places = Math.max(0, copy.places - 1);
}

/** Drops the asks and places of a host that cannot be heard; engines protect what runs for it. */
export function releaseHost(state: State, host: string, now: number): Effect[] {
  const effects: Effect[] = [];
  for (const owned of state.residency.owned.values()) {
    const held = [
      ...owned.places.values(),
      ...owned.queue.map((ask) => ({ ...ask, host: ask.from })),
    ];
    const requests = held.filter((place) => place.host === host);
    if (requests.length === 0) continue;
    for (const { request } of requests) releasePlace(owned, request);
    effects.push(...servePlaces(state, owned, now));
  }
  return effects;
}

/** Has the queue served at `at`, unless it will be served before anyway. */
export function wakeAt(state: State, owned: OwnedEngine, at: number, now: number): void {
  if (owned.wakeAt > now && owned.wakeAt <= at) return;
  owned.wakeAt = at;
  schedule(state, at, { type: 'servePlaces', engine: owned.id });
}

/** Whether an ask wants a newer version than the one that other requests still run on here. */
function isBeingReplaced(state: State, owned: OwnedEngine, ask: QueuedPlace): boolean {
  const copy = owned.copies.get(ask.adapter);
  if (copy?.phase !== 'held' || copy.places === 0) return false;
  return !isCurrent(copy, getWantedVersion(state, ask));
}

/** Returns the version that an ask needs: the newest that its host or this one knows; 0 for any. */
export function getWantedVersion(state: State, { adapter, version }: PlaceAsked): number {
  return Math.max(version, state.residency.versions.get(adapter) ?? 0);
}

/** Returns what keeps an ask from running now; undefined when nothing does. */
function getObstacle(
  state: State,
  owned: OwnedEngine,
  engine: EngineClass,
  ask: QueuedPlace,
): PlaceObstacle | undefined {
  if (ask.adapter !== '') {
    const copy = owned.copies.get(ask.adapter);
    if (copy === undefined || !isCurrent(copy, getWantedVersion(state, ask))) return 'adapter';
  }
  if (owned.places.size >= engine.batch) return 'batch';
  if (owned.places.size > 0 && owned.tokens + getTokens(ask) > engine.memoryTokens * MEMORY_SHARE) {
    return 'memory';
  }
  return canSendPrompt(owned, ask.promptTokens) ? undefined : 'prompts';
}

function givePlace(state: State, owned: OwnedEngine, ask: QueuedPlace, now: number): Effect[] {
  const tokens = getTokens(ask);
  owned.places.set(ask.request, {
    request: ask.request,
    host: ask.from,
    adapter: ask.adapter,
    tokens,
    promptTokens: ask.promptTokens,
    isReading: true,
    givenAt: now,
    expiresAt: ask.deadlineAt + PLACE_SLACK_MS,
  });
  owned.tokens += tokens;
  owned.readingTokens += ask.promptTokens;
  const copy = owned.copies.get(ask.adapter);
  if (copy !== undefined) {
    copy.places += 1;
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
      places: owned.places.size,
      tokens: Math.round(owned.tokens),
      backlogMs: Math.round(getBacklogMs(owned)),
      slots: owned.copies.size,
      queued: owned.queue.length,
    }),
    deliver(state, ask.from, {
      type: 'placeGiven',
      request: ask.request,
      ask: ask.ask,
      engine: owned.id,
      version: copy?.version,
      stallMs: Math.round(now - ask.arrivedAt),
    }),
  ];
}

function getTokens({ promptTokens, outputTokens }: PlaceAsked): number {
  return promptTokens + outputTokens * OUTPUT_SHARE;
}

function removeExpired(owned: OwnedEngine, now: number): void {
  for (const { request, expiresAt } of [...owned.places.values()]) {
    if (expiresAt <= now) releasePlace(owned, request);
  }
}

/** Tells the askers that their asks wait, so that they do not take this host for dead. */
function tellQueued(state: State, owned: OwnedEngine): Effect[] {
  return owned.queue
    .filter((ask) => !ask.isToldQueued)
    .map((ask) => {
      ask.isToldQueued = true;
      const { request, ask: number, from } = ask;
      return deliver(state, from, { type: 'placeQueued', request, ask: number });
    });
}

function refusePlace(
  state: State,
  { request, ask, engine }: PlaceAsked,
  from: string,
  reason: PlaceRefusal,
): Effect[] {
  return [
    newCount('fireflywick_decisions_total', { decision: 'placeRefused', reason }),
    deliver(state, from, { type: 'placeRefused', request, ask, engine, reason }),
  ];
}
