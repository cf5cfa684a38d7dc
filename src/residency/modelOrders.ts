import { TokenBucket } from '../base/tokenBucket.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { BaseModel, EngineClass } from '../routes/types.ts';
import {
  WEIGHT_STORE_LOAD_RATIO,
  MODEL_LOAD_CHECK_INTERVAL_MS,
  MODEL_LOAD_TIMEOUT_MS,
  MODEL_LOAD_RETRY_MS,
  COUNTED_MODEL_LOAD_MAX_AGE_MS,
  SLOW_CONCURRENCY_TTL_MS,
  SLOW_LOAD_RATIO,
  REMOTE_STATUS_MAX_AGE_MS,
} from './constants.ts';
import { issueOrder } from './adapterOrders.ts';
import { getOwnedEngineClass, scheduleReservationServing } from './reservations.ts';
import { announceEngineStatus } from './engineStatus.ts';
import type { AdapterOrder, AdapterOrderAnswer, EngineResidency } from './types.ts';

/** Whether an order concerns a base model and not an adapter of one. */
export function isModelOrder({ adapter }: AdapterOrder): boolean {
  return !adapter.includes('/');
}

/** Orders the load of a base model on an engine without one, or checks a load in progress. */
export function issueModelOrder(
  state: State,
  owned: EngineResidency,
  engine: EngineClass,
  now: number,
): Effect[] {
  const { modelLoad } = owned;
  if (modelLoad !== undefined) {
    const checkAt = modelLoad.checkedAt + MODEL_LOAD_CHECK_INTERVAL_MS;
    if (checkAt > now) {
      scheduleReservationServing(state, owned, checkAt, now);
      return [];
    }
    modelLoad.checkedAt = now;
    return issueOrder(owned, 'load', modelLoad.model, undefined);
  }
  const model = chooseModel(state, engine, now);
  if (model === undefined) return [];
  const isLoadTimeKnown = model.loadMs > 0;
  const concurrentLoads = countModelLoads(state, now);
  const isAtLimit = isLoadTimeKnown && concurrentLoads >= state.residency.maxConcurrentModelLoads;
  if (isAtLimit || !tryTakeModelLoadToken(state, engine, now)) {
    // Jitter keeps owners that wait for the same load from starting the next ones at the same time.
    const pause = MODEL_LOAD_RETRY_MS * (0.5 + state.random.getFraction());
    scheduleReservationServing(state, owned, now + pause, now);
    return [];
  }
  const { name } = model;
  return [
    newLog('info', 'loading base model', {
      engine: owned.id,
      model: name,
      together: concurrentLoads,
    }),
    ...issueOrder(owned, 'load', name, undefined),
    ...announceEngineStatus(state, now),
  ];
}

/**
 * Whether a base model load on an engine counts against the limit on concurrent loads. A load that
 * takes too long no longer counts: its end may have been missed, as on an unreachable engine.
 */
export function isLoadingModel(
  { fleet }: State,
  { id, modelLoad, orderInFlight }: EngineResidency,
  now: number,
): boolean {
  if (fleet.views.get(id)?.isRemoved !== false) return false;
  if (modelLoad === undefined) return orderInFlight !== undefined && isModelOrder(orderInFlight);
  return now - modelLoad.orderedAt < COUNTED_MODEL_LOAD_MAX_AGE_MS;
}

/** Applies the answer to a base model order; returns false if it is handled like any other order. */
export function applyModelOrderAnswer(
  state: State,
  owned: EngineResidency,
  { adapter: model }: AdapterOrder,
  { type }: AdapterOrderAnswer,
  now: number,
): boolean {
  if (type === 'accepted') {
    owned.unacknowledgedOrder = undefined;
    if (owned.modelLoad !== undefined) return true;
    owned.sequence = (owned.sequence ?? 0) + 1;
    const concurrentLoads = countModelLoads(state, now) + 1;
    owned.modelLoad = { model, orderedAt: now, checkedAt: now, concurrentLoads };
    return true;
  }
  if (type === 'done') {
    if (owned.unacknowledgedOrder !== undefined) owned.sequence = (owned.sequence ?? 0) + 1;
    owned.unacknowledgedOrder = undefined;
    updateModelLoadLimit(state, owned, now);
    owned.modelLoad = undefined;
    owned.models.add(model);
    return true;
  }
  // The engine is still busy with the load that this order checked.
  const { modelLoad } = owned;
  if (type !== 'conflict' || modelLoad === undefined) return false;
  if (now - modelLoad.orderedAt < MODEL_LOAD_TIMEOUT_MS) return true;
  owned.modelLoad = undefined;
  return false;
}

/** Chooses the most requested base model of those that fit. */
function chooseModel(state: State, engine: EngineClass, now: number): BaseModel | undefined {
  const { popularity } = state.forwards;
  return engine.models
    .filter(({ weightsMb }) => weightsMb <= engine.weightsMb)
    .map((model) => ({ model, value: popularity.getValue(model.name, now) }))
    .sort((a, b) => b.value - a.value)[0]?.model;
}

/** Counts the base model loads on all engines, as far as their owners announced them. */
function countModelLoads(state: State, now: number): number {
  const { residency } = state;
  let count = 0;
  for (const owned of residency.owned.values()) {
    if (isLoadingModel(state, owned, now)) count += 1;
  }
  for (const [engine, status] of residency.remoteStatuses) {
    if (residency.owned.has(engine) || status.receivedAt + REMOTE_STATUS_MAX_AGE_MS < now) continue;
    if (status.isLoadingModel) count += 1;
  }
  return count;
}

/**
 * Adapts the limit on concurrent loads to the duration of a finished load. Above the number that the
 * weight store serves at full speed, each load takes proportionally longer, so that all engines of a
 * release would become usable only at the end instead of one by one.
 */
function updateModelLoadLimit(state: State, owned: EngineResidency, now: number): void {
  const { residency } = state;
  const { modelLoad } = owned;
  const loadMs =
    getOwnedEngineClass(state, owned)?.models.find(({ name }) => name === modelLoad?.model)
      ?.loadMs ?? 0;
  if (modelLoad === undefined || loadMs === 0) return;
  const { concurrentLoads } = modelLoad;
  const ratio = (now - modelLoad.orderedAt - MODEL_LOAD_CHECK_INTERVAL_MS) / loadMs;
  if (ratio > SLOW_LOAD_RATIO) {
    residency.slowConcurrency = Math.max(2, concurrentLoads);
    residency.slowConcurrencyUntil = now + SLOW_CONCURRENCY_TTL_MS;
    residency.maxConcurrentModelLoads = Math.max(
      1,
      Math.min(residency.maxConcurrentModelLoads, concurrentLoads - 1),
    );
  } else if (
    ratio > WEIGHT_STORE_LOAD_RATIO &&
    concurrentLoads >= residency.maxConcurrentModelLoads
  ) {
    const upperLimit =
      residency.slowConcurrencyUntil > now ? residency.slowConcurrency - 1 : Infinity;
    residency.maxConcurrentModelLoads = Math.min(concurrentLoads + 1, upperLimit);
  }
}

/** Takes a load token from this host's share of the weight store's rate. */
function tryTakeModelLoadToken(state: State, { loadsPerS }: EngineClass, now: number): boolean {
  const { residency, owners } = state;
  const ownerCount = Math.max(1, owners.row?.members.filter(({ isOwner }) => isOwner).length ?? 1);
  const ratePerS = loadsPerS / ownerCount;
  if (residency.modelLoadBucket?.ratePerS !== ratePerS) {
    const tokens = residency.modelLoadBucket?.getTokens(now) ?? 1;
    residency.modelLoadBucket = TokenBucket.create(ratePerS, 1, now, tokens);
  }
  return residency.modelLoadBucket.tryTake(now);
}
