import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { isRoutable } from '../fleet/endpointChoice.ts';
import { getPauseLeftMs, recordSend } from '../notices/pauses.ts';
import { canOrderEngine } from '../paths/lostPaths.ts';
import { probeEndpoint } from '../paths/probes.ts';
import type { EngineClass } from '../routes/types.ts';
import { isModelOrder, applyModelOrderAnswer, issueModelOrder } from './modelOrders.ts';
import {
  LOAD_CHECK_INTERVAL_MS,
  LOAD_OVERDUE_MS,
  MAX_CONCURRENT_LOADS,
  MAX_LOST_ANSWERS,
  ORDER_RETRY_MAX_MS,
  ORDER_RETRY_MS,
  MAX_ADAPTER_REPORT_AGE_MS,
  REPORT_RETRY_MS,
  UNLOAD_TIMEOUT_MS,
} from './constants.ts';
import { countLoading, getSlotLimit, getEvictableCopy, canServeVersion } from './copies.ts';
import { getWantedAdapter } from './relocation.ts';
import { getWantedVersion, serveReservations, scheduleReservationServing } from './reservations.ts';
import type {
  AdapterOrder,
  AdapterOrderAnswer,
  AdapterReport,
  AdapterCopy,
  EngineResidency,
} from './types.ts';

type AnswerHandlers = Record<
  AdapterOrderAnswer['type'],
  (state: State, owned: EngineResidency, order: AdapterOrder, now: number) => void
>;

/**
 * Issues the next order for the queued reservations; at most one order per engine is in flight, and none
 * while the engine wants nothing from this host.
 */
export function issueNextOrder(
  state: State,
  owned: EngineResidency,
  engine: EngineClass,
  now: number,
): Effect[] {
  const view = state.fleet.views.get(owned.id);
  // A leaving engine gets no new requests: its loads would only slow those of other engines.
  if (view === undefined || !isRoutable(view)) return [];
  // Orders that another host sends on would come from two hosts under one fencing number.
  if (!canOrderEngine(state, view)) return [];
  const pauseLeftMs = getPauseLeftMs(view, now);
  if (pauseLeftMs > 0) {
    scheduleReservationServing(state, owned, now + pauseLeftMs, now);
    return [];
  }
  const effects = chooseNextOrder(state, owned, engine, now);
  if (effects.length > 0) recordSend(view, now);
  return effects;
}

function chooseNextOrder(
  state: State,
  owned: EngineResidency,
  engine: EngineClass,
  now: number,
): Effect[] {
  if (owned.orderInFlight !== undefined || owned.isReadingReport || owned.isFenced) return [];
  if (owned.ordersAllowedAt > now) {
    scheduleReservationServing(state, owned, owned.ordersAllowedAt, now);
    return [];
  }
  if (owned.sequence === undefined) return readReport(state, owned, now);
  const { unacknowledgedOrder: unacknowledged } = owned;
  if (unacknowledged !== undefined) {
    return issueOrder(owned, unacknowledged.type, unacknowledged.adapter, unacknowledged.version);
  }
  if (owned.modelLoad !== undefined || owned.models.size === 0) {
    return issueModelOrder(state, owned, engine, now);
  }
  // If this host was frozen, the load may have completed: only the report shows the free slots.
  if (isOverdue(owned, now)) {
    requireReport(owned, now);
    return readReport(state, owned, now);
  }
  const check = recordDueCheck(owned, now);
  if (check !== undefined) {
    const type = check.phase === 'loading' ? 'load' : 'unload';
    return issueOrder(owned, type, check.adapter, check.version);
  }
  const wanted =
    getLoadCandidate(state, owned) ??
    getWantedAdapter(state, owned, getSlotLimit(engine, owned.models), now);
  if (wanted !== undefined) {
    const effects = orderLoad(state, owned, engine, wanted, now);
    if (effects.length > 0) return effects;
  }
  const checkAt = getNextCheckAt(owned);
  if (checkAt !== undefined)
    scheduleReservationServing(state, owned, Math.max(now + 1, checkAt), now);
  return [];
}

/** Applies the answer to an order and serves the queue. */
export function handleOrderAnswer(
  state: State,
  owned: EngineResidency,
  order: AdapterOrder,
  answer: AdapterOrderAnswer,
  now: number,
): Effect[] {
  owned.orderInFlight = undefined;
  if (answer.type !== 'unknown') owned.lostAnswers = 0;
  if (answer.type !== 'refused') owned.refusals = 0;
  const handled = isModelOrder(order) && applyModelOrderAnswer(state, owned, order, answer, now);
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
    ...(answer.type === 'unknown' ? probeEndpoint(state, owned.id, 'failure') : []),
    ...serveReservations(state, owned, now),
  ];
}

/** Replaces the copies of an engine by those in its report; `undefined` stands for a failed read. */
export function applyAdapterReport(
  state: State,
  owned: EngineResidency,
  report: AdapterReport | undefined,
  now: number,
): Effect[] {
  owned.isReadingReport = false;
  if (report === undefined) {
    owned.reportAllowedAt = now + REPORT_RETRY_MS;
    scheduleReservationServing(state, owned, owned.reportAllowedAt, now);
    return probeEndpoint(state, owned.id, 'failure');
  }
  owned.sequence = report.sequence;
  owned.models = new Set(report.models);
  const before = owned.copies;
  owned.copies = new Map();
  for (const { adapter, version } of report.adapters) {
    const known = before.get(adapter);
    owned.copies.set(adapter, newCopy(adapter, version, 'resident', known, now));
  }
  for (const adapter of report.loading) {
    const known = before.get(adapter);
    const copy = newCopy(adapter, known?.version, 'loading', known, now);
    owned.copies.set(adapter, { ...copy, orderedAt: now });
  }
  return serveReservations(state, owned, now);
}

/**
 * Requires a new report of the engine before the next order. The report is read when it is recent
 * enough to show all orders issued so far.
 */
export function requireReport(owned: EngineResidency, now: number): void {
  owned.unacknowledgedOrder = undefined;
  owned.lostAnswers = 0;
  owned.sequence = undefined;
  owned.reportAllowedAt = now + MAX_ADAPTER_REPORT_AGE_MS;
}

const answerHandlers: AnswerHandlers = {
  accepted: (_state, owned, { type, adapter, version }, now) => {
    owned.unacknowledgedOrder = undefined;
    const known = owned.copies.get(adapter);
    const phase = type === 'load' ? 'loading' : 'unloading';
    // The engine accepts a repeated order in progress without raising its sequence.
    if (known?.phase === phase) return;
    owned.sequence = (owned.sequence ?? 0) + 1;
    owned.copies.set(adapter, newCopy(adapter, version, phase, known, now));
  },
  done: (_state, owned, { type, adapter, version }, now) => {
    const known = owned.copies.get(adapter);
    const wasUnacknowledged = owned.unacknowledgedOrder !== undefined;
    owned.unacknowledgedOrder = undefined;
    // An unload raises the sequence when it is first answered. A load raised it when it was
    // accepted, unless that answer was lost.
    const isCounted = type === 'unload' ? known?.phase !== 'unloading' : wasUnacknowledged;
    if (isCounted) owned.sequence = (owned.sequence ?? 0) + 1;
    if (type === 'unload') {
      owned.copies.delete(adapter);
      return;
    }
    owned.copies.set(adapter, newCopy(adapter, known?.version ?? version, 'resident', known, now));
  },
  conflict: (_state, owned, _order, now) => {
    // While an unload waits for the requests of its adapter, the engine accepts no other order.
    const unloading = [...owned.copies.values()].find(({ phase }) => phase === 'unloading');
    if (unloading !== undefined && now - unloading.orderedAt < UNLOAD_TIMEOUT_MS) {
      owned.ordersAllowedAt = Math.max(owned.ordersAllowedAt, now + ORDER_RETRY_MS);
      return;
    }
    requireReport(owned, now);
  },
  fenced: (_state, owned) => {
    owned.isFenced = true;
  },
  otherEngine: (_state, owned, _order, now) => requireReport(owned, now),
  refused: (_state, owned, _order, now) => {
    const pause = Math.min(ORDER_RETRY_MAX_MS, ORDER_RETRY_MS * 2 ** owned.refusals);
    owned.refusals += 1;
    owned.ordersAllowedAt = Math.max(owned.ordersAllowedAt, now + pause);
  },
  // The engine may have executed the order, or may execute it later unless another order raises the
  // sequence first. Repeating it with the same sequence is idempotent.
  unknown: (_state, owned, order, now) => {
    owned.unacknowledgedOrder = order;
    owned.lostAnswers += 1;
    if (owned.lostAnswers >= MAX_LOST_ANSWERS) requireReport(owned, now);
  },
};

function orderLoad(
  state: State,
  owned: EngineResidency,
  engine: EngineClass,
  { adapter, version }: { adapter: string; version: number },
  now: number,
): Effect[] {
  const wantedVersion = version === 0 ? undefined : version;
  if (owned.copies.get(adapter)?.phase === 'resident') {
    return issueOrder(owned, 'load', adapter, wantedVersion);
  }
  if (countLoading(owned) >= MAX_CONCURRENT_LOADS) return [];
  if (owned.copies.size < getSlotLimit(engine, owned.models)) {
    return issueOrder(owned, 'load', adapter, wantedVersion);
  }
  const candidate = getEvictableCopy(owned, state.residency.popularity, now);
  if (candidate === undefined) {
    scheduleReservationServing(state, owned, now + ORDER_RETRY_MS, now);
    return [];
  }
  return issueOrder(owned, 'unload', candidate.adapter, undefined);
}

/** Returns the first adapter in the queue that has to be loaded. */
function getLoadCandidate(
  state: State,
  owned: EngineResidency,
): { adapter: string; version: number } | undefined {
  for (const queued of owned.queue) {
    if (queued.adapter === '') continue;
    const version = getWantedVersion(state, queued);
    const copy = owned.copies.get(queued.adapter);
    if (copy === undefined) return { adapter: queued.adapter, version };
    // While requests run on the old version, the engine would wait for them and accept no other
    // order.
    const isReplaceable = copy.phase === 'resident' && copy.reservations === 0;
    if (isReplaceable && !canServeVersion(copy, version))
      return { adapter: queued.adapter, version };
  }
  return undefined;
}

/** Whether a load or unload takes longer than an engine may need. */
function isOverdue({ copies }: EngineResidency, now: number): boolean {
  return [...copies.values()].some(({ phase, orderedAt }) => {
    return phase !== 'resident' && now - orderedAt > LOAD_OVERDUE_MS;
  });
}

/** Records the check of a loading or unloading copy if one is due, and returns the copy. */
function recordDueCheck(owned: EngineResidency, now: number): AdapterCopy | undefined {
  for (const copy of owned.copies.values()) {
    if (copy.phase === 'resident' || copy.checkedAt + LOAD_CHECK_INTERVAL_MS > now) continue;
    copy.checkedAt = now;
    return copy;
  }
  return undefined;
}

/** Returns the monotonic ms of the next check of a loading or unloading copy. */
function getNextCheckAt({ copies }: EngineResidency): number | undefined {
  let next: number | undefined;
  for (const { phase, checkedAt } of copies.values()) {
    if (phase === 'resident') continue;
    const at = checkedAt + LOAD_CHECK_INTERVAL_MS;
    next = next === undefined ? at : Math.min(next, at);
  }
  return next;
}

/** Returns the effect that sends an order, and records the order as in flight. */
export function issueOrder(
  owned: EngineResidency,
  type: AdapterOrder['type'],
  adapter: string,
  version: number | undefined,
): Effect[] {
  const order: AdapterOrder = { type, adapter, version, sequence: owned.sequence ?? 0 };
  owned.orderInFlight = order;
  const { id: engine, address, epoch } = owned;
  return [{ type: 'sendAdapterOrder', engine, address, epoch, order }];
}

function readReport(state: State, owned: EngineResidency, now: number): Effect[] {
  if (owned.reportAllowedAt > now) {
    scheduleReservationServing(state, owned, owned.reportAllowedAt, now);
    return [];
  }
  owned.isReadingReport = true;
  return [{ type: 'readAdapterReport', engine: owned.id, address: owned.address }];
}

function newCopy(
  adapter: string,
  version: number | undefined,
  phase: AdapterCopy['phase'],
  known: AdapterCopy | undefined,
  now: number,
): AdapterCopy {
  return {
    adapter,
    version,
    phase,
    orderedAt: known?.phase === phase ? known.orderedAt : now,
    checkedAt: now,
    lastUsedAt: known?.lastUsedAt ?? now,
    reservations: known?.reservations ?? 0,
    busyUntil: known?.busyUntil ?? -Infinity,
  };
}
