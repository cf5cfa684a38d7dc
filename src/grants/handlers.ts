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
import { handleSuspectReport } from '../suspects/suspectRows.ts';
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
    return serveMostPressing(state, now);
  },
  grantAsk: (state, ask, from, now) => handleAsk(state, ask, from, now),
  grantReleased: (state, released, from, now) => {
    const { engine, request } = released;
    const owned = state.grants.owned.get(engine);
    if (owned === undefined) return forwardGrantRelease(state, released, from);
    const noted = updateSuspectsOnRelease(
      state,
      engine,
      owned.pins.get(released.grant),
      released,
      now,
    );
    endGrant(state, owned, released, now);
    owned.queue = owned.queue.filter((ask) => ask.request !== request);
    return [...noted, ...serveQueue(state, owned, now)];
  },
};

export const grantEvents: EventHandlers<GrantEvent['type']> = {
  orderAnswered: (state, { engine, order, answer }, now) => {
    const owned = state.grants.owned.get(engine);
    const counted = newCount('fireflywick_adapter_orders_total', {
      order: order.type,
      answer: answer.type,
    });
    if (owned === undefined) return [counted];
    if (order.type === 'role') {
      owned.isRoleOrdered = false;
      if (answer.type === 'done') owned.role = order.role;
      return [counted];
    }
    const effects =
      order.type === 'load'
        ? endLoad(state, owned, order.model, answer.type === 'done', now)
        : endUnload(state, owned, order.model, now);
    const failure = 'reason' in answer ? answer.reason : '';
    if (answer.type !== 'done') {
      effects.push(newLog('warn', `order ${order.type} failed`, { engine, order, failure }));
    }
    return [counted, ...effects, ...serveQueue(state, owned, now)];
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

/** Serves the engine whose load is the most pressing, so that borrowed tokens go to it. */
function serveMostPressing(state: State, now: number): Effect[] {
  let best: OwnedEngine | undefined;
  for (const owned of state.grants.owned.values()) {
    if (owned.waitingLoadRank > (best?.waitingLoadRank ?? 0)) best = owned;
  }
  return best === undefined ? [] : serveQueue(state, best, now);
}

/** Ends a grant; an engine may go on with a request that broke or was cancelled for a short time. */
function endGrant(state: State, owned: OwnedEngine, released: GrantReleased, now: number): void {
  const { grant, engine, result } = released;
  const mayRun = result === 'failed' || result === 'crashed';
  if (!mayRun) {
    removePin(owned, grant);
    return;
  }
  unlinkPinFromRequest(owned, grant);
  schedule(state, now + ENGINE_CANCEL_TIMEOUT_MS, { type: 'pinExpiry', engine, grant });
}

function handleAsk(state: State, ask: GrantRequest, from: string, now: number): Effect[] {
  const owned = state.grants.owned.get(ask.engine);
  const asked = { ...ask, from };
  if (owned === undefined) return refuseGrant(state, asked, 'notOwner');
  const refusal = getQueueRefusal(state, owned);
  if (refusal !== undefined) return refuseGrant(state, asked, refusal);
  const pin = getPinByRequest(owned, ask.request);
  if (pin?.ask === ask.ask) return resendGrant(state, owned, asked, pin);
  if (owned.queue.some(({ request }) => request === ask.request)) {
    owned.queue = owned.queue.map((queued) =>
      queued.request === ask.request ? { ...queued, ask: ask.ask, from } : queued,
    );
    return [];
  }
  state.grants.popularity.recordRequest(ask.model, ask.kind, state.policy.stallWeight, now);
  owned.queue.push({ ...asked, arrivedAt: now, residentAt: undefined });
  const learned =
    ask.suspect === undefined ? [] : handleSuspectReport(state, ask.suspect, from, now);
  return [...learned, ...serveQueue(state, owned, now)];
}

function endLoad(
  state: State,
  owned: OwnedEngine,
  model: string,
  isDone: boolean,
  now: number,
): Effect[] {
  // After a restart of the engine, an answer from before says nothing of it.
  if (!owned.loading.delete(model)) return [];
  if (!isDone) {
    const failed = owned.queue.filter((ask) => ask.model === model);
    owned.queue = owned.queue.filter((ask) => ask.model !== model);
    return failed.flatMap((ask) => refuseGrant(state, ask, 'loadFailed'));
  }
  owned.residents.set(model, { model, loadedAt: now, lastUsedAt: now });
  addResident(state.engines, owned.id, model);
  for (const ask of owned.queue) if (ask.model === model) ask.residentAt = now;
  return [];
}

function endUnload(state: State, owned: OwnedEngine, model: string, now: number): Effect[] {
  owned.unloadedAt.set(model, now);
  owned.unloading.delete(model);
  removeResident(state.engines, owned.id, model);
  return [];
}
