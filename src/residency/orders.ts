import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { isOpen } from '../fleet/choose.ts';
import type { EngineClass } from '../routes/types.ts';
import { isModelOrder, noteModelAnswer, orderModel } from './modelOrders.ts';
import {
  LOAD_CHECK_MS,
  LOAD_LIMIT_MS,
  MAX_LOADING,
  MAX_LOST_ANSWERS,
  ORDER_RETRY_MAX_MS,
  ORDER_RETRY_MS,
  REPORT_LAG_MS,
  REPORT_RETRY_MS,
  UNLOAD_LIMIT_MS,
} from './constants.ts';
import { countLoading, getSlotLimit, getVictim, isCurrent } from './copies.ts';
import { getWantedVersion, servePlaces, wakeAt } from './serve.ts';
import type {
  AdapterOrder,
  AdapterOrderAnswer,
  AdapterReport,
  Copy,
  OwnedEngine,
} from './types.ts';

type AnswerHandlers = Record<
  AdapterOrderAnswer['type'],
  (state: State, owned: OwnedEngine, order: AdapterOrder, now: number) => void
>;

/** Gives the order that the waiting asks need most; one order of an engine is in flight at a time. */
export function orderNext(
  state: State,
  owned: OwnedEngine,
  engine: EngineClass,
  now: number,
): Effect[] {
  if (owned.ordering !== undefined || owned.isReporting || owned.isFenced) return [];
  // What an engine that leaves would load serves nobody, and takes the weight store from others.
  const view = state.fleet.views.get(owned.id);
  if (view === undefined || !isOpen(view)) return [];
  if (owned.orderFrom > now) {
    wakeAt(state, owned, owned.orderFrom, now);
    return [];
  }
  if (owned.sequence === undefined) return readReport(state, owned, now);
  const { doubtful } = owned;
  if (doubtful !== undefined) {
    return giveOrder(owned, doubtful.type, doubtful.adapter, doubtful.version);
  }
  if (owned.modelLoad !== undefined || owned.models.size === 0) {
    return orderModel(state, owned, engine, now);
  }
  // After a freeze of this host it may have arrived: only the report tells which slots are free.
  if (isOverdue(owned, now)) {
    forgetCopies(owned, now);
    return readReport(state, owned, now);
  }
  const check = getCopyToCheck(owned, now);
  if (check !== undefined) {
    const type = check.phase === 'loading' ? 'load' : 'unload';
    return giveOrder(owned, type, check.adapter, check.version);
  }
  const wanted = getWanted(state, owned);
  if (wanted !== undefined) {
    const effects = orderLoad(state, owned, engine, wanted, now);
    if (effects.length > 0) return effects;
  }
  const checkAt = getNextCheckAt(owned);
  if (checkAt !== undefined) wakeAt(state, owned, Math.max(now + 1, checkAt), now);
  return [];
}

/** Continues after the answer of an order. */
export function continueOrder(
  state: State,
  owned: OwnedEngine,
  order: AdapterOrder,
  answer: AdapterOrderAnswer,
  now: number,
): Effect[] {
  owned.ordering = undefined;
  if (answer.type !== 'unknown') owned.lostAnswers = 0;
  if (answer.type !== 'refused') owned.refusals = 0;
  const handled = isModelOrder(order) && noteModelAnswer(state, owned, order, answer, now);
  if (!handled) answerHandlers[answer.type](state, owned, order, now);
  const { type, adapter, version } = order;
  const isUsual = answer.type === 'accepted' || answer.type === 'done';
  const reason = 'reason' in answer ? answer.reason : undefined;
  return [
    newCount('fireflywick_adapter_orders_total', { order: type, answer: answer.type }),
    newLog(isUsual ? 'debug' : 'warn', 'adapter order answered', {
      engine: owned.id,
      order: type,
      adapter,
      version,
      sequence: order.sequence,
      epoch: owned.epoch,
      answer: answer.type,
      reason,
    }),
    ...servePlaces(state, owned, now),
  ];
}

/** Brings the copies of an engine in line with its report. */
export function takeReport(
  state: State,
  owned: OwnedEngine,
  report: AdapterReport | undefined,
  now: number,
): Effect[] {
  owned.isReporting = false;
  if (report === undefined) {
    owned.reportFrom = now + REPORT_RETRY_MS;
    wakeAt(state, owned, owned.reportFrom, now);
    return [];
  }
  owned.sequence = report.sequence;
  owned.models = new Set(report.models);
  const before = owned.copies;
  owned.copies = new Map();
  for (const { adapter, version } of report.adapters) {
    const known = before.get(adapter);
    owned.copies.set(adapter, newCopy(adapter, version, 'held', known, now));
  }
  for (const adapter of report.coming) {
    const known = before.get(adapter);
    const copy = newCopy(adapter, known?.version, 'loading', known, now);
    owned.copies.set(adapter, { ...copy, orderedAt: now });
  }
  return servePlaces(state, owned, now);
}

/** Has the copies and the sequence of an engine read anew. */
export function forgetCopies(owned: OwnedEngine, now: number): void {
  owned.doubtful = undefined;
  owned.lostAnswers = 0;
  owned.sequence = undefined;
  owned.reportFrom = now + REPORT_LAG_MS;
}

const answerHandlers: AnswerHandlers = {
  accepted: (_state, owned, { type, adapter, version }, now) => {
    owned.doubtful = undefined;
    const known = owned.copies.get(adapter);
    const phase = type === 'load' ? 'loading' : 'unloading';
    // The engine accepts an order that it is carrying out once more without counting it.
    if (known?.phase === phase) return;
    owned.sequence = (owned.sequence ?? 0) + 1;
    owned.copies.set(adapter, newCopy(adapter, version, phase, known, now));
  },
  done: (_state, owned, { type, adapter, version }, now) => {
    const known = owned.copies.get(adapter);
    const wasDoubtful = owned.doubtful !== undefined;
    owned.doubtful = undefined;
    // An unload counts when it is given; a load that is done counted when it was accepted, unless
    // the answer to that was lost.
    const isCounted = type === 'unload' ? known?.phase !== 'unloading' : wasDoubtful;
    if (isCounted) owned.sequence = (owned.sequence ?? 0) + 1;
    if (type === 'unload') {
      owned.copies.delete(adapter);
      return;
    }
    owned.copies.set(adapter, newCopy(adapter, known?.version ?? version, 'held', known, now));
  },
  conflict: (_state, owned, _order, now) => {
    // While an unload waits for the requests of its adapter, the engine takes no other order.
    const unloading = [...owned.copies.values()].find(({ phase }) => phase === 'unloading');
    if (unloading !== undefined && now - unloading.orderedAt < UNLOAD_LIMIT_MS) {
      owned.orderFrom = Math.max(owned.orderFrom, now + ORDER_RETRY_MS);
      return;
    }
    forgetCopies(owned, now);
  },
  fenced: (_state, owned) => {
    owned.isFenced = true;
  },
  otherEngine: (_state, owned, _order, now) => forgetCopies(owned, now),
  refused: (_state, owned, _order, now) => {
    const pause = Math.min(ORDER_RETRY_MAX_MS, ORDER_RETRY_MS * 2 ** owned.refusals);
    owned.refusals += 1;
    owned.orderFrom = Math.max(owned.orderFrom, now + pause);
  },
  // It may have been carried out, or will be unless another order raises the sequence first. Given
  // again with the same sequence it takes effect once.
  unknown: (_state, owned, order, now) => {
    owned.doubtful = order;
    owned.lostAnswers += 1;
    if (owned.lostAnswers >= MAX_LOST_ANSWERS) forgetCopies(owned, now);
  },
};

function orderLoad(
  state: State,
  owned: OwnedEngine,
  engine: EngineClass,
  { adapter, version }: { adapter: string; version: number },
  now: number,
): Effect[] {
  const wantedVersion = version === 0 ? undefined : version;
  if (owned.copies.get(adapter)?.phase === 'held') {
    return giveOrder(owned, 'load', adapter, wantedVersion);
  }
  if (countLoading(owned) >= MAX_LOADING) return [];
  if (owned.copies.size < getSlotLimit(engine, owned.models)) {
    return giveOrder(owned, 'load', adapter, wantedVersion);
  }
  const victim = getVictim(owned, state.residency.popularity, now);
  if (victim === undefined) {
    wakeAt(state, owned, now + ORDER_RETRY_MS, now);
    return [];
  }
  return giveOrder(owned, 'unload', victim.adapter, undefined);
}

/** Returns the first adapter that a waiting ask needs and that is not on its way. */
function getWanted(
  state: State,
  owned: OwnedEngine,
): { adapter: string; version: number } | undefined {
  for (const ask of owned.queue) {
    if (ask.adapter === '') continue;
    const version = getWantedVersion(state, ask);
    const copy = owned.copies.get(ask.adapter);
    if (copy === undefined) return { adapter: ask.adapter, version };
    // The engine would wait for the requests on the old version and take no other order meanwhile.
    const isReplaceable = copy.phase === 'held' && copy.places === 0;
    if (isReplaceable && !isCurrent(copy, version)) return { adapter: ask.adapter, version };
  }
  return undefined;
}

/** Whether a copy comes or goes for longer than an engine takes. */
function isOverdue({ copies }: OwnedEngine, now: number): boolean {
  return [...copies.values()].some(({ phase, orderedAt }) => {
    return phase !== 'held' && now - orderedAt > LOAD_LIMIT_MS;
  });
}

/** Returns a copy that comes or goes and has not been asked about lately. */
function getCopyToCheck(owned: OwnedEngine, now: number): Copy | undefined {
  for (const copy of owned.copies.values()) {
    if (copy.phase === 'held' || copy.checkedAt + LOAD_CHECK_MS > now) continue;
    copy.checkedAt = now;
    return copy;
  }
  return undefined;
}

/** Returns the monotonic ms at which a copy that comes or goes is to be asked about next. */
function getNextCheckAt({ copies }: OwnedEngine): number | undefined {
  let next: number | undefined;
  for (const { phase, checkedAt } of copies.values()) {
    if (phase === 'held') continue;
    const at = checkedAt + LOAD_CHECK_MS;
    next = next === undefined ? at : Math.min(next, at);
  }
  return next;
}

/** Returns the effect that gives an order and notes it as under way. */
export function giveOrder(
  owned: OwnedEngine,
  type: AdapterOrder['type'],
  adapter: string,
  version: number | undefined,
): Effect[] {
  const order: AdapterOrder = { type, adapter, version, sequence: owned.sequence ?? 0 };
  owned.ordering = order;
  const { id: engine, address, epoch } = owned;
  return [{ type: 'orderAdapter', engine, address, epoch, order }];
}

function readReport(state: State, owned: OwnedEngine, now: number): Effect[] {
  if (owned.reportFrom > now) {
    wakeAt(state, owned, owned.reportFrom, now);
    return [];
  }
  owned.isReporting = true;
  return [{ type: 'readAdapters', engine: owned.id, address: owned.address }];
}

function newCopy(
  adapter: string,
  version: number | undefined,
  phase: Copy['phase'],
  known: Copy | undefined,
  now: number,
): Copy {
  return {
    adapter,
    version,
    phase,
    orderedAt: known?.phase === phase ? known.orderedAt : now,
    checkedAt: now,
    lastUsedAt: known?.lastUsedAt ?? now,
    places: known?.places ?? 0,
    busyUntil: known?.busyUntil ?? -Infinity,
  };
}
