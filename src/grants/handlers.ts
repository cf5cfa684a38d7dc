import type { EventHandlers, MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { Effect } from '../core/effects.ts';
import { addResident, removeResident } from '../engines/views.ts';
import { noteReleased } from '../suspects/crashes.ts';
import { receiveSuspect } from '../suspects/table.ts';
import { forwardRelease } from '../ownership/handover.ts';
import { refuse, serveQueue } from './serve.ts';
import type { GrantAsk, GrantEvent, GrantTimer, OwnedEngine } from './types.ts';

export const grantMessages: MessageHandlers<'grantAsk' | 'grantReleased'> = {
  grantAsk: (state, ask, from, now) => handleAsk(state, ask, from, now),
  grantReleased: (state, released, from, now) => {
    const { engine, request, grant } = released;
    const owned = state.grants.owned.get(engine);
    if (owned === undefined) return forwardRelease(state, released, from);
    const noted = noteReleased(state, engine, owned.pins.get(grant), released, now);
    owned.pins.delete(grant);
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
    if (owned === undefined || order.type === 'role') return [counted];
    const effects =
      order.type === 'load'
        ? endLoad(state, owned, order.model, answer.type === 'done', now)
        : endUnload(state, owned, order.model);
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
    if (!owned?.pins.delete(grant)) return [];
    return serveQueue(state, owned, now);
  },
  serveQueue: (state, { engine }, now) => {
    const owned = state.grants.owned.get(engine);
    return owned === undefined ? [] : serveQueue(state, owned, now);
  },
};

function handleAsk(state: State, ask: GrantAsk, from: string, now: number): Effect[] {
  const owned = state.grants.owned.get(ask.engine);
  const asked = { ...ask, from };
  if (owned === undefined) return refuse(state, asked, 'notOwner');
  if (state.configuration.leaving.has(ask.engine)) return refuse(state, asked, 'leaving');
  owned.queue.push({ ...asked, arrivedAt: now, residentAt: undefined });
  const learned = ask.suspect === undefined ? [] : receiveSuspect(state, ask.suspect, from, now);
  return [...learned, ...serveQueue(state, owned, now)];
}

function endLoad(
  state: State,
  owned: OwnedEngine,
  model: string,
  isDone: boolean,
  now: number,
): Effect[] {
  owned.loading.delete(model);
  if (!isDone) {
    const failed = owned.queue.filter((ask) => ask.model === model);
    owned.queue = owned.queue.filter((ask) => ask.model !== model);
    return failed.flatMap((ask) => refuse(state, ask, 'loadFailed'));
  }
  owned.residents.set(model, { model, loadedAt: now, lastUsedAt: now });
  addResident(state.engines, owned.id, model);
  for (const ask of owned.queue) if (ask.model === model) ask.residentAt = now;
  return [];
}

function endUnload(state: State, owned: OwnedEngine, model: string): Effect[] {
  owned.unloading.delete(model);
  removeResident(state.engines, owned.id, model);
  return [];
}
