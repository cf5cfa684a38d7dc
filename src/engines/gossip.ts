import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { OwnedEngine } from '../grants/types.ts';
import {
  ANNOUNCE_AGAIN_MS,
  ANNOUNCE_MAX_MS,
  ANNOUNCE_MIN_MS,
  ANNOUNCE_MS_PER_LINK,
  ANNOUNCED_LOAD_SHARE,
} from './constants.ts';
import type { Announced, EngineDelta } from './types.ts';
import { addResident, getView, removeResident } from './views.ts';

/** Has the linked hosts told of an owned engine when its residents, state or load changed. */
export function noteChanged(state: State, owned: OwnedEngine, now: number): void {
  const { engines } = state;
  const view = getView(engines, owned.id);
  view.running = owned.pins.size;
  view.waiting = owned.queue.length;
  view.sentSince = 0;
  if (!isWorthTelling(state, owned, now)) return;
  engines.changed.add(owned.id);
  if (engines.isAnnouncing) return;
  engines.isAnnouncing = true;
  const collectMs = state.membership.linked.size * ANNOUNCE_MS_PER_LINK;
  const delayMs = Math.min(ANNOUNCE_MAX_MS, Math.max(ANNOUNCE_MIN_MS, collectMs));
  schedule(state, now + delayMs, { type: 'announceEngines' });
}

/** Sends the collected changes to every linked host. */
export function announceEngines(state: State, now: number): Effect[] {
  const { engines, grants, membership } = state;
  const deltas = [...engines.changed].flatMap((id) => {
    const owned = grants.owned.get(id);
    return owned === undefined ? [] : [newDelta(state, owned, now)];
  });
  engines.changed.clear();
  engines.isAnnouncing = false;
  if (deltas.length === 0) return [];
  return [...membership.linked].map((host) =>
    deliver(state, host, { type: 'enginesChanged', engines: deltas }),
  );
}

/** Takes over what an owner tells; asks for whole views where a delta was missed. */
export function applyDeltas(
  state: State,
  deltas: readonly EngineDelta[],
  from: string,
  now: number,
): Effect[] {
  const missed: string[] = [];
  for (const delta of deltas) {
    if (state.grants.owned.has(delta.engine)) continue;
    if (!applyDelta(state, delta, now)) missed.push(delta.engine);
  }
  if (missed.length === 0) return [];
  return [deliver(state, from, { type: 'engineViewsAsked', engines: missed })];
}

/** Answers a host that missed a delta. */
export function newFullViews(
  state: State,
  engines: readonly string[],
  to: string,
  now: number,
): Effect[] {
  const deltas = engines.flatMap((id) => {
    const owned = state.grants.owned.get(id);
    if (owned === undefined) return [];
    const announced = state.engines.announced.get(id) ?? newAnnounced(state, owned, now);
    state.engines.announced.set(id, announced);
    // The residents that were announced, not those of now: the next delta builds on them.
    return [{ ...newEmptyDelta(owned, announced), isFull: true, added: [...announced.residents] }];
  });
  return deltas.length === 0
    ? []
    : [deliver(state, to, { type: 'enginesChanged', engines: deltas })];
}

function applyDelta(state: State, delta: EngineDelta, now: number): boolean {
  const { engines } = state;
  const view = getView(engines, delta.engine);
  if (delta.epoch < view.epoch) return true;
  const isNext = delta.epoch === view.epoch && delta.sequence === view.sequence + 1;
  if (!delta.isFull && !isNext) {
    return delta.epoch === view.epoch && delta.sequence <= view.sequence;
  }
  if (delta.isFull) {
    const held = new Set(delta.added);
    for (const model of [...view.residents]) {
      if (!held.has(model)) removeResident(engines, delta.engine, model);
    }
  }
  for (const model of delta.removed) removeResident(engines, delta.engine, model);
  for (const model of delta.added) addResident(engines, delta.engine, model);
  view.epoch = delta.epoch;
  view.sequence = delta.sequence;
  view.state = delta.state;
  view.running = delta.running;
  view.waiting = delta.waiting;
  view.sentSince = 0;
  view.reportedAt = now;
  return true;
}

function isWorthTelling(state: State, owned: OwnedEngine, now: number): boolean {
  const announced = state.engines.announced.get(owned.id);
  if (announced === undefined) return true;
  if (announced.epoch !== owned.epoch || announced.at + ANNOUNCE_AGAIN_MS <= now) return true;
  if (announced.state !== getView(state.engines, owned.id).state) return true;
  if (announced.residents.size !== owned.residents.size) return true;
  for (const model of owned.residents.keys()) if (!announced.residents.has(model)) return true;
  const batch = state.configuration.engines.get(owned.id)?.batch ?? 1;
  const change = Math.abs(owned.pins.size + owned.queue.length - announced.load);
  return change > batch * ANNOUNCED_LOAD_SHARE;
}

function newDelta(state: State, owned: OwnedEngine, now: number): EngineDelta {
  const before = state.engines.announced.get(owned.id);
  const isFull = before?.epoch !== owned.epoch;
  const announced = newAnnounced(state, owned, now);
  announced.sequence = isFull ? 0 : before.sequence + 1;
  state.engines.announced.set(owned.id, announced);
  const known = isFull ? new Set<string>() : before.residents;
  return {
    ...newEmptyDelta(owned, announced),
    isFull,
    added: [...announced.residents].filter((model) => !known.has(model)),
    removed: [...known].filter((model) => !announced.residents.has(model)),
  };
}

function newEmptyDelta(owned: OwnedEngine, announced: Announced): EngineDelta {
  return {
    engine: owned.id,
    epoch: announced.epoch,
    sequence: announced.sequence,
    isFull: false,
    state: announced.state,
    added: [],
    removed: [],
    running: owned.pins.size,
    waiting: owned.queue.length,
  };
}

function newAnnounced(state: State, owned: OwnedEngine, now: number): Announced {
  return {
    epoch: owned.epoch,
    sequence: 0,
    residents: new Set(owned.residents.keys()),
    load: owned.pins.size + owned.queue.length,
    state: getView(state.engines, owned.id).state,
    at: now,
  };
}
