import type { Engine } from '../configuration/types.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { canOrderDestructively } from '../ownership/owner.ts';
import { borrowTokens, getNeed, getTokens, getTokenWaitMs, takeToken } from './budget.ts';
import { BORROW_AGAIN_MS, EVICT_RETRY_MS, URGENT_RANK } from './constants.ts';
import { getVictim } from './eviction.ts';
import { getWantedLoads, type WantedLoad } from './loadChoice.ts';
import type { Order, OwnedEngine } from './types.ts';

/** Orders the load that asks of `owned` wait for most, and the eviction that it needs. */
export function orderLoads(
  state: State,
  owned: OwnedEngine,
  engine: Engine,
  now: number,
): Effect[] {
  owned.wantedRank = -1;
  // Engines load one adapter at a time.
  if (owned.loading.size > 0) return [];
  const wanted = getWantedLoads(owned, now).find(
    ({ model }) => getSource(state, model) !== undefined,
  );
  if (wanted === undefined) return [];
  owned.wantedRank = wanted.rank;
  const isFull = owned.residents.size + owned.unloading.size >= engine.slots;
  if (getTokens(state, now) < getNeed(state, wanted.rank)) {
    const waiting = waitForToken(state, owned, wanted, now);
    // The slot is made free while an urgent request waits for its token.
    if (wanted.rank < URGENT_RANK || !isFull || owned.unloading.size > 0) return waiting;
    return [...waiting, ...orderEviction(state, owned, engine, wanted.rank, now)];
  }
  if (isFull) {
    return owned.unloading.size > 0 ? [] : orderEviction(state, owned, engine, wanted.rank, now);
  }
  return orderLoad(state, owned, engine, wanted.model, now);
}

/** Returns the source of `adapter@version`, or undefined when the configuration does not have it. */
export function getSource(state: State, model: string): string | undefined {
  const [adapter = '', version = ''] = model.split('@');
  return state.configuration.adapters.get(adapter)?.versions[version]?.source;
}

/** Has the queue of `owned` served at `at`, unless it will be served before anyway. */
export function wakeAt(state: State, owned: OwnedEngine, at: number, now: number): void {
  if (!Number.isFinite(at) || (owned.wakeAt > now && owned.wakeAt <= at)) return;
  owned.wakeAt = at;
  schedule(state, at, { type: 'serveQueue', engine: owned.id });
}

function waitForToken(state: State, owned: OwnedEngine, wanted: WantedLoad, now: number): Effect[] {
  const waitMs = getTokenWaitMs(state, getNeed(state, wanted.rank), now);
  wakeAt(state, owned, now + Math.min(waitMs, BORROW_AGAIN_MS), now);
  return borrowTokens(state, wanted.rank, now);
}

function orderLoad(
  state: State,
  owned: OwnedEngine,
  engine: Engine,
  model: string,
  now: number,
): Effect[] {
  const source = getSource(state, model);
  if (source === undefined || !takeToken(state, now)) return [];
  owned.loading.set(model, now);
  return [newOrder(owned, engine, { type: 'load', model, source })];
}

function orderEviction(
  state: State,
  owned: OwnedEngine,
  engine: Engine,
  rank: number,
  now: number,
): Effect[] {
  const victim = getVictim(owned, state.grants.popularity, rank >= URGENT_RANK, now);
  const running = owned.reported.get(victim?.model ?? '') ?? 0;
  if (victim === undefined || !canOrderDestructively(state, owned.id, now, running)) {
    wakeAt(state, owned, now + EVICT_RETRY_MS, now);
    return [];
  }
  owned.residents.delete(victim.model);
  owned.unloading.set(victim.model, now);
  return [newOrder(owned, engine, { type: 'unload', model: victim.model })];
}

/** Returns the effect that gives an order to an owned engine. */
export function newOrder(owned: OwnedEngine, engine: Engine, order: Order): Effect {
  return {
    type: 'orderEngine',
    engine: owned.id,
    address: engine.address,
    epoch: owned.epoch,
    order,
  };
}
