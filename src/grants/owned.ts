import { TokenBucket } from '../base/tokenBucket.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EngineReport } from '../engines/types.ts';
import { getActingOwner, isActingOwner } from '../ownership/owner.ts';
import { getEngineLoadTokenShare } from './loadTokens.ts';
import { MAX_ENGINE_REPORT_AGE_MS } from './constants.ts';
import { getQueueRefusal, refuseQueue, serveQueue } from './grantQueue.ts';
import type { OwnedEngine } from './types.ts';

/** Adds engines that this host has come to own and removes those that it no longer owns. */
export function refreshOwnedEngines(state: State, now: number): Effect[] {
  const { grants, configuration } = state;
  const effects: Effect[] = [];
  for (const owned of [...grants.owned.values()]) {
    if (configuration.engines.has(owned.id) && isActingOwner(state, owned.id)) continue;
    grants.owned.delete(owned.id);
    effects.push(...refuseQueue(state, owned, 'notOwner'));
  }
  for (const engine of configuration.engines.keys()) {
    const owner = getActingOwner(state, engine);
    if (owner?.host !== state.host.id) continue;
    const owned = grants.owned.get(engine);
    if (owned === undefined) {
      grants.owned.set(engine, newOwnedEngine(state, engine, owner.epoch, now));
      schedule(state, now, { type: 'pollEngine', engine });
      continue;
    }
    owned.epoch = owner.epoch;
    owned.loadTokens = updateLoadTokenBucket(state, owned.loadTokens, now);
    const refusal = getQueueRefusal(state, owned);
    if (refusal !== undefined) effects.push(...refuseQueue(state, owned, refusal));
  }
  if (grants.owned.size > 0 && !grants.isReconcileScheduled) {
    grants.isReconcileScheduled = true;
    schedule(state, now, { type: 'reconcile' });
  }
  return effects;
}

/** Updates the residents and running requests of an owned engine from its report. */
export function updateResidentsFromReport(
  state: State,
  engine: string,
  report: EngineReport,
  now: number,
): Effect[] {
  const owned = state.grants.owned.get(engine);
  if (owned === undefined) return [];
  if (owned.bootId !== '' && owned.bootId !== report.bootId) resetEngine(owned);
  owned.bootId = report.bootId;
  owned.reportedRunning = new Map(Object.entries(report.running));
  const isRecent = (at: number | undefined) =>
    at !== undefined && at + MAX_ENGINE_REPORT_AGE_MS > now;
  for (const [model, at] of owned.unloadedAt) if (!isRecent(at)) owned.unloadedAt.delete(model);
  const reported = new Set(report.residents);
  for (const [model, { loadedAt }] of [...owned.residents]) {
    if (!reported.has(model) && !isRecent(loadedAt)) owned.residents.delete(model);
  }
  for (const model of reported) {
    if (owned.unloading.has(model) || owned.residents.has(model)) continue;
    if (isRecent(owned.unloadedAt.get(model))) continue;
    owned.residents.set(model, { model, loadedAt: now, lastUsedAt: now });
  }
  return serveQueue(state, owned, now);
}

/** A new owner starts with no tokens, so that a takeover never raises the total. */
function newLoadTokenBucket(state: State, now: number): TokenBucket {
  const { ratePerS, limit } = getEngineLoadTokenShare(state);
  return TokenBucket.create(ratePerS, limit, now);
}

/** Adapts a bucket to a changed number of engines; tokens above the new limit are dropped. */
function updateLoadTokenBucket(state: State, bucket: TokenBucket, now: number): TokenBucket {
  const { ratePerS, limit } = getEngineLoadTokenShare(state);
  if (bucket.ratePerS === ratePerS && bucket.limit === limit) return bucket;
  const tokens = Math.min(limit, bucket.getTokens(now));
  return TokenBucket.create(ratePerS, limit, now, tokens);
}

/** Resets the state of an engine that restarted without adapters. */
function resetEngine(owned: OwnedEngine): void {
  owned.residents.clear();
  // Engines start in their default role.
  owned.role = 'mixed';
  owned.isRoleOrdered = false;
  owned.unloadedAt.clear();
  owned.loading.clear();
  owned.unloading.clear();
}

function newOwnedEngine(state: State, id: string, epoch: number, now: number): OwnedEngine {
  return {
    id,
    epoch,
    ownedSince: now,
    queue: [],
    pins: new Map(),
    pinsByModel: new Map(),
    grantByRequest: new Map(),
    pinsByFirm: new Map(),
    reportedRunning: new Map(),
    residents: new Map(),
    loading: new Map(),
    unloading: new Map(),
    unloadedAt: new Map(),
    warmModels: new Set(),
    role: 'mixed',
    isRoleChanging: false,
    isRoleOrdered: false,
    bootId: '',
    loadTokens: newLoadTokenBucket(state, now),
    waitingLoadRank: -1,
    nextServeAt: -Infinity,
  };
}
