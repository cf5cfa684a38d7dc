import { TokenBucket } from '../base/tokenBucket.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { EngineClass } from '../routes/types.ts';
import { MODEL_CHECK_MS, MODEL_LOAD_LIMIT_MS, MODEL_RETRY_MS } from './constants.ts';
import { giveOrder } from './orders.ts';
import { wakeAt } from './serve.ts';
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
  if (!takeModelLoad(state, engine, now)) {
    wakeAt(state, owned, now + MODEL_RETRY_MS, now);
    return [];
  }
  return [
    newLog('info', 'base model is loaded', { engine: owned.id, model }),
    ...giveOrder(owned, 'load', model, undefined),
  ];
}

/** Notes the answer to an order of a base model; false when it is handled like any other order. */
export function noteModelAnswer(
  owned: OwnedEngine,
  { adapter: model }: AdapterOrder,
  { type }: AdapterOrderAnswer,
  now: number,
): boolean {
  if (type === 'accepted') {
    owned.doubtful = undefined;
    if (owned.modelLoad !== undefined) return true;
    owned.sequence = (owned.sequence ?? 0) + 1;
    owned.modelLoad = { model, orderedAt: now, checkedAt: now };
    return true;
  }
  if (type === 'done') {
    if (owned.doubtful !== undefined) owned.sequence = (owned.sequence ?? 0) + 1;
    owned.doubtful = undefined;
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
function chooseModel(state: State, engine: EngineClass, now: number): string | undefined {
  const { popularity } = state.forwards;
  return engine.models
    .filter(({ weightsMb }) => weightsMb <= engine.weightsMb)
    .map(({ name }) => ({ name, value: popularity.get(name, now) }))
    .sort((a, b) => b.value - a.value)[0]?.name;
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
  return residency.modelLoads.take(now);
}
