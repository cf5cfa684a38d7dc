import { TokenBucket } from '../base/tokenBucket.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { BaseModel, EngineClass } from '../routes/types.ts';
import {
  FROM_STORE,
  MODEL_CHECK_MS,
  MODEL_LOAD_LIMIT_MS,
  MODEL_RETRY_MS,
  MODEL_WAIT_MS,
  SLOW_KEEP_MS,
  SLOW_LOAD,
  TOLD_KEEP_MS,
} from './constants.ts';
import { giveOrder } from './orders.ts';
import { getOwnedClass, wakeAt } from './serve.ts';
import { tellEngines } from './told.ts';
import type { AdapterOrder, AdapterOrderAnswer, OwnedEngine } from './types.ts';

/** Whether an order concerns a base model and not an adapter of one. */
export function isModelOrder({ adapter }: AdapterOrder): boolean {
  return !adapter.includes('/');
}

/** Orders the base model of an engine that holds none, or asks about one on its way. */
export function orderModel(
  state: State,
  owned: OwnedEngine,
  engine: EngineClass,
  now: number,
): Effect[] {
  const { modelLoad } = owned;
  if (modelLoad !== undefined) {
    const checkAt = modelLoad.checkedAt + MODEL_CHECK_MS;
    if (checkAt > now) {
      wakeAt(state, owned, checkAt, now);
      return [];
    }
    modelLoad.checkedAt = now;
    return giveOrder(owned, 'load', modelLoad.model, undefined);
  }
  const model = chooseModel(state, engine, now);
  if (model === undefined) return [];
  const isKnown = model.loadMs > 0;
  const together = countModelLoads(state, now);
  const isTooMany = isKnown && together >= state.residency.modelLimit;
  if (isTooMany || !takeModelLoad(state, engine, now)) {
    // Owners that wait for the same load to end must not go on together.
    const pause = MODEL_RETRY_MS * (0.5 + state.random.getFraction());
    wakeAt(state, owned, now + pause, now);
    return [];
  }
  const { name } = model;
  return [
    newLog('info', 'base model is loaded', { engine: owned.id, model: name, together }),
    ...giveOrder(owned, 'load', name, undefined),
    ...tellEngines(state, now),
  ];
}

/**
 * Whether a base model is on its way to an engine, as far as others have to wait for it. A load that
 * takes much longer than it should may have ended unheard, as on an engine that fell silent.
 */
export function isLoadingModel(
  { fleet }: State,
  { id, modelLoad, ordering }: OwnedEngine,
  now: number,
): boolean {
  if (fleet.views.get(id)?.isRemoved !== false) return false;
  if (modelLoad === undefined) return ordering !== undefined && isModelOrder(ordering);
  return now - modelLoad.orderedAt < MODEL_WAIT_MS;
}

/** Notes the answer to an order of a base model; false when it is handled like any other order. */
export function noteModelAnswer(
  state: State,
  owned: OwnedEngine,
  { adapter: model }: AdapterOrder,
  { type }: AdapterOrderAnswer,
  now: number,
): boolean {
  if (type === 'accepted') {
    owned.doubtful = undefined;
    if (owned.modelLoad !== undefined) return true;
    owned.sequence = (owned.sequence ?? 0) + 1;
    const together = countModelLoads(state, now) + 1;
    owned.modelLoad = { model, orderedAt: now, checkedAt: now, together };
    return true;
  }
  if (type === 'done') {
    if (owned.doubtful !== undefined) owned.sequence = (owned.sequence ?? 0) + 1;
    owned.doubtful = undefined;
    noteModelLoaded(state, owned, now);
    owned.modelLoad = undefined;
    owned.models.add(model);
    return true;
  }
  // The engine is busy with the load that was asked about.
  const { modelLoad } = owned;
  if (type !== 'conflict' || modelLoad === undefined) return false;
  if (now - modelLoad.orderedAt < MODEL_LOAD_LIMIT_MS) return true;
  owned.modelLoad = undefined;
  return false;
}

/** Chooses the base model that is asked for most of those that fit. */
function chooseModel(state: State, engine: EngineClass, now: number): BaseModel | undefined {
  const { popularity } = state.forwards;
  return engine.models
    .filter(({ weightsMb }) => weightsMb <= engine.weightsMb)
    .map((model) => ({ model, value: popularity.getValue(model.name, now) }))
    .sort((a, b) => b.value - a.value)[0]?.model;
}

/** Counts the loads of base models on all engines, as far as their owners told. */
function countModelLoads(state: State, now: number): number {
  const { residency } = state;
  let count = 0;
  for (const owned of residency.owned.values()) {
    if (isLoadingModel(state, owned, now)) count += 1;
  }
  for (const [engine, told] of residency.told) {
    if (residency.owned.has(engine) || told.at + TOLD_KEEP_MS < now) continue;
    if (told.isLoadingModel) count += 1;
  }
  return count;
}

/**
 * Learns from a load how many the weight store serves at full speed. Beyond that number each takes
 * longer in proportion: all engines of a release would come into use at the end, instead of one by
 * one.
 */
function noteModelLoaded(state: State, owned: OwnedEngine, now: number): void {
  const { residency } = state;
  const { modelLoad } = owned;
  const loadMs =
    getOwnedClass(state, owned)?.models.find(({ name }) => name === modelLoad?.model)?.loadMs ?? 0;
  if (modelLoad === undefined || loadMs === 0) return;
  const { together } = modelLoad;
  const ratio = (now - modelLoad.orderedAt - MODEL_CHECK_MS) / loadMs;
  if (ratio > SLOW_LOAD) {
    residency.slowTogether = Math.max(2, together);
    residency.slowUntil = now + SLOW_KEEP_MS;
    residency.modelLimit = Math.max(1, Math.min(residency.modelLimit, together - 1));
  } else if (ratio > FROM_STORE && together >= residency.modelLimit) {
    const most = residency.slowUntil > now ? residency.slowTogether - 1 : Infinity;
    residency.modelLimit = Math.min(together + 1, most);
  }
}

/** Takes one load from this host's share of the weight store's rate. */
function takeModelLoad(state: State, { loadsPerS }: EngineClass, now: number): boolean {
  const { residency, owners } = state;
  const sharing = Math.max(1, owners.row?.members.filter(({ isOwner }) => isOwner).length ?? 1);
  const ratePerS = loadsPerS / sharing;
  if (residency.modelLoads?.ratePerS !== ratePerS) {
    const tokens = residency.modelLoads?.getTokens(now) ?? 1;
    residency.modelLoads = TokenBucket.create(ratePerS, 1, now, tokens);
  }
  return residency.modelLoads.tryTake(now);
}
