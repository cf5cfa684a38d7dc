import type { EventHandlers, MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { Effect } from '../core/effects.ts';
import { addResident, removeResident } from '../engines/views.ts';
import { schedule } from '../core/timers.ts';
import { ENGINE_CANCEL_TIMEOUT_MS } from './constants.ts';
import { addBorrowedLoadTokens, lendLoadTokens } from './loadTokens.ts';
import { unlinkPinFromRequest, getPinByRequest, removePin } from './pins.ts';
import { updateSuspectsOnRelease } from '../suspects/crashes.ts';
import { handleSuspectReport } from '../suspects/suspectReports.ts';
import { forwardGrantRelease } from '../ownership/handover.ts';
import { reconcileOwnedEngines } from './reconcile.ts';
import { getQueueRefusal, refuseGrant, resendGrant, serveQueue } from './grantQueue.ts';
import type { GrantRequest, GrantEvent, GrantReleased, GrantTimer, OwnedEngine } from './types.ts';

export const grantMessages: MessageHandlers<
  'grantAsk' | 'grantReleased' | 'loadTokensAsked' | 'loadTokensLent'
> = {
  loadTokensAsked: (state, message, from, now) => lendLoadTokens(state, message, from, now),
  loadTokensLent: (state, message, from, now) => {
    addBorrowedLoadTokens(state, message, from, now);
    return serveHighestRankedLoad(state, now);
  },
  grantAsk: (state, message, from, now) => handleGrantRequest(state, message, from, now),
  grantReleased: (state, released, from, now) => {
    const { engine, request } = released;
    const owned = state.grants.owned.get(engine);
    if (owned === undefined) return forwardGrantRelease(state, released, from);
    const suspectEffects = updateSuspectsOnRelease(
      state,
      engine,
      owned.pins.get(released.grant),
      released,
      now,
    );
    endGrant(state, owned, released, now);
    owned.queue = owned.queue.filter((queued) => queued.request !== request);
    return [...suspectEffects, ...serveQueue(state, owned, now)];
  },
};

export const grantEvents: EventHandlers<GrantEvent['type']> = {
  orderAnswered: (state, { engine, order, answer }, now) => {
    const owned = state.grants.owned.get(engine);
    const orderCountEffect = newCount('fireflywick_adapter_orders_total', {
      order: order.type,
      answer: answer.type,
    });
    if (owned === undefined) return [orderCountEffect];
    if (order.type === 'role') {
      owned.isRoleOrdered = false;
      if (answer.type === 'done') owned.role = order.role;
      return [orderCountEffect];
    }
    const effects =
      order.type === 'load'
        ? endLoad(state, owned, order.model, answer.type === 'done', now)
        : endUnload(state, owned, order.model, now);
    const failure = 'reason' in answer ? answer.reason : '';
    if (answer.type !== 'done') {
      effects.push(newLog('warn', 'engine order failed', { engine, order, failure }));
    }
    return [orderCountEffect, ...effects, ...serveQueue(state, owned, now)];
  },
};

export const grantTimers: TimerHandlers<GrantTimer['type']> = {
  pinExpiry: (state, { engine, grant }, now) => {
    const owned = state.grants.owned.get(engine);
    if (owned === undefined || !removePin(owned, grant)) return [];
    return serveQueue(state, owned, now);
  },
  reconcile: (state, _timer, now) => reconcileOwnedEngines(state, now),
  serveQueue: (state, { engine }, now) => {
    const owned = state.grants.owned.get(engine);
    return owned === undefined ? [] : serveQueue(state, owned, now);
  },
};

/**
 * Serves the engine whose waiting load has the highest rank, so that it gets the borrowed tokens.
 */
function serveHighestRankedLoad(state: State, now: number): Effect[] {
  let best: OwnedEngine | undefined;
  for (const owned of state.grants.owned.values()) {
    if (owned.waitingLoadRank > (best?.waitingLoadRank ?? 0)) best = owned;
  }
  return best === undefined ? [] : serveQueue(state, best, now);
}

/** Ends a grant; its pin stays while the engine may still run a failed or cancelled request. */
function endGrant(state: State, owned: OwnedEngine, released: GrantReleased, now: number): void {
  const { grant, engine, result } = released;
  const mayStillRun = result === 'failed' || result === 'crashed';
  if (!mayStillRun) {
    removePin(owned, grant);
    return;
  }
  unlinkPinFromRequest(owned, grant);
  schedule(state, now + ENGINE_CANCEL_TIMEOUT_MS, { type: 'pinExpiry', engine, grant });
}

function handleGrantRequest(
  state: State,
  message: GrantRequest,
  from: string,
  now: number,
): Effect[] {
  const owned = state.grants.owned.get(message.engine);
  const received = { ...message, from };
  if (owned === undefined) return refuseGrant(state, received, 'notOwner');
  const refusal = getQueueRefusal(state, owned);
  if (refusal !== undefined) return refuseGrant(state, received, refusal);
  const pin = getPinByRequest(owned, message.request);
  if (pin?.ask === message.ask) return resendGrant(state, owned, received, pin);
  if (owned.queue.some(({ request }) => request === message.request)) {
    owned.queue = owned.queue.map((queued) =>
      queued.request === message.request ? { ...queued, ask: message.ask, from } : queued,
    );
    return [];
  }
  state.grants.popularity.recordRequest(message.model, message.kind, state.policy.stallWeight, now);
  owned.queue.push({ ...received, arrivedAt: now, residentAt: undefined });
  const suspectReportEffects =
    message.suspect === undefined ? [] : handleSuspectReport(state, [message.suspect], from, now);
  return [...suspectReportEffects, ...serveQueue(state, owned, now)];
}

function endLoad(
  state: State,
  owned: OwnedEngine,
  model: string,
  isDone: boolean,
  now: number,
): Effect[] {
  // An answer to an order from before a restart of the engine does not apply any more.
  if (!owned.loading.delete(model)) return [];
  if (!isDone) {
    const failed = owned.queue.filter((queued) => queued.model === model);
    owned.queue = owned.queue.filter((queued) => queued.model !== model);
    return failed.flatMap((queued) => refuseGrant(state, queued, 'loadFailed'));
  }
  owned.residents.set(model, { model, loadedAt: now, lastUsedAt: now });
  addResident(state.engines, owned.id, model);
  for (const queued of owned.queue) if (queued.model === model) queued.residentAt = now;
  return [];
}

function endUnload(state: State, owned: OwnedEngine, model: string, now: number): Effect[] {
  owned.unloadedAt.set(model, now);
  owned.unloading.delete(model);
  removeResident(state.engines, owned.id, model);
  return [];
}
