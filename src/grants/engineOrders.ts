import type { Engine } from '../configuration/types.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { canOrderDestructively } from '../ownership/owner.ts';
import {
  requestLoadTokens,
  getRequiredLoadTokens,
  getLoadTokens,
  getLoadTokenWaitMs,
  tryTakeLoadToken,
} from './loadTokens.ts';
import { BORROW_RETRY_MS, EVICTION_RETRY_MS, URGENT_LOAD_RANK } from './constants.ts';
import { getEvictionCandidate } from './eviction.ts';
import { getLoadCandidates, type LoadCandidate } from './loadCandidates.ts';
import type { EngineOrder, OwnedEngine } from './types.ts';

/** Orders the load of the highest rank on `owned`, or the eviction that must precede it. */
export function orderNextLoad(
  state: State,
  owned: OwnedEngine,
  engine: Engine,
  now: number,
): Effect[] {
  owned.waitingLoadRank = -1;
  // Engines load one adapter at a time.
  if (owned.loading.size > 0) return [];
  const candidate = getLoadCandidates(owned, now).find(
    ({ model }) => getWeightSource(state, model) !== undefined,
  );
  if (candidate === undefined) return [];
  owned.waitingLoadRank = candidate.rank;
  const isFull = owned.residents.size + owned.unloading.size >= engine.slots;
  if (getLoadTokens(state, now) < getRequiredLoadTokens(state, candidate.rank)) {
    const borrowEffects = waitForToken(state, owned, candidate, now);
    // An urgent load frees its slot while it waits for a token.
    if (candidate.rank < URGENT_LOAD_RANK || !isFull || owned.unloading.size > 0)
      return borrowEffects;
    return [...borrowEffects, ...orderEviction(state, owned, engine, candidate.rank, now)];
  }
  if (isFull) {
    return owned.unloading.size > 0 ? [] : orderEviction(state, owned, engine, candidate.rank, now);
  }
  return orderLoad(state, owned, engine, candidate.model, now);
}

/** Returns the weight source of `adapter@version`, or undefined when it is not configured. */
export function getWeightSource(state: State, model: string): string | undefined {
  const [adapter = '', version = ''] = model.split('@');
  return state.configuration.adapters.get(adapter)?.versions[version]?.source;
}

/** Schedules the queue of `owned` to be served at `at`, unless an earlier time is scheduled. */
export function scheduleQueueServing(
  state: State,
  owned: OwnedEngine,
  at: number,
  now: number,
): void {
  if (!Number.isFinite(at) || (owned.nextServeAt > now && owned.nextServeAt <= at)) return;
  owned.nextServeAt = at;
  schedule(state, at, { type: 'serveQueue', engine: owned.id });
}

function waitForToken(
  state: State,
  owned: OwnedEngine,
  candidate: LoadCandidate,
  now: number,
): Effect[] {
  const waitMs = getLoadTokenWaitMs(state, getRequiredLoadTokens(state, candidate.rank), now);
  scheduleQueueServing(state, owned, now + Math.min(waitMs, BORROW_RETRY_MS), now);
  return requestLoadTokens(state, candidate.rank, now);
}

function orderLoad(
  state: State,
  owned: OwnedEngine,
  engine: Engine,
  model: string,
  now: number,
): Effect[] {
  const source = getWeightSource(state, model);
  if (source === undefined || !tryTakeLoadToken(state, now)) return [];
  owned.loading.set(model, now);
  return [newEngineOrder(owned, engine, { type: 'load', model, source })];
}

function orderEviction(
  state: State,
  owned: OwnedEngine,
  engine: Engine,
  rank: number,
  now: number,
): Effect[] {
  const victim = getEvictionCandidate(
    owned,
    state.grants.popularity,
    rank >= URGENT_LOAD_RANK,
    now,
  );
  const running = owned.reportedRunning.get(victim?.model ?? '') ?? 0;
  if (victim === undefined || !canOrderDestructively(state, owned.id, now, running)) {
    scheduleQueueServing(state, owned, now + EVICTION_RETRY_MS, now);
    return [];
  }
  owned.residents.delete(victim.model);
  owned.unloading.set(victim.model, now);
  return [newEngineOrder(owned, engine, { type: 'unload', model: victim.model })];
}

/** Returns the effect that sends an order to an owned engine. */
export function newEngineOrder(owned: OwnedEngine, engine: Engine, order: EngineOrder): Effect {
  return {
    type: 'orderEngine',
    engine: owned.id,
    address: engine.address,
    epoch: owned.epoch,
    order,
  };
}
