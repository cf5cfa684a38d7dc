import { TokenBucket } from '../base/tokenBucket.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EngineReport } from '../engines/types.ts';
import { getOwner } from '../ownership/owner.ts';
import { LOAD_BURST } from './constants.ts';
import { serveQueue } from './serve.ts';
import type { OwnedEngine } from './types.ts';

/** Takes up the engines that this host owns now and drops those that it no longer owns. */
export function updateOwned(state: State, now: number): Effect[] {
  for (const engine of state.configuration.engines.keys()) {
    const owner = getOwner(state, engine);
    const owned = state.grants.owned.get(engine);
    if (owner?.host !== state.host.id) {
      state.grants.owned.delete(engine);
    } else if (owned === undefined) {
      state.grants.owned.set(engine, newOwnedEngine(state, engine, owner.epoch, now));
      schedule(state, now, { type: 'pollEngine', engine });
    } else {
      owned.epoch = owner.epoch;
    }
  }
  for (const engine of state.grants.owned.keys()) {
    if (!state.configuration.engines.has(engine)) state.grants.owned.delete(engine);
  }
  return [];
}

/** Brings the residents of an owned engine in line with its report. */
export function syncOwned(
  state: State,
  engine: string,
  report: EngineReport,
  now: number,
): Effect[] {
  const owned = state.grants.owned.get(engine);
  if (owned === undefined) return [];
  const reported = new Set(report.residents);
  for (const model of [...owned.residents.keys()]) {
    if (!reported.has(model)) owned.residents.delete(model);
  }
  for (const model of reported) {
    if (owned.unloading.has(model) || owned.residents.has(model)) continue;
    owned.residents.set(model, { model, loadedAt: now, lastUsedAt: now });
  }
  return serveQueue(state, owned, now);
}

function newOwnedEngine(state: State, id: string, epoch: number, now: number): OwnedEngine {
  const engines = Math.max(1, state.configuration.engines.size);
  return {
    id,
    epoch,
    ownedSince: now,
    queue: [],
    pins: new Map(),
    residents: new Map(),
    loading: new Map(),
    unloading: new Map(),
    budget: TokenBucket.create(state.policy.loadsPerS / engines, LOAD_BURST, now),
  };
}
