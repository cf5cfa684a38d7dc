import type { EventHandlers, MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { newLog } from '../core/observations.ts';
import { BREAK_OFF_MS } from './constants.ts';
import { continueOrder, forgetCopies, takeReport } from './orders.ts';
import { noteRead } from './prompts.ts';
import { queuePlace, releasePlace, servePlaces } from './serve.ts';
import { hearEngines, tellEngines } from './told.ts';
import type { ResidencyEvent, ResidencyTimer } from './types.ts';

export const residencyMessages: MessageHandlers<
  'placeAsked' | 'placeStarted' | 'placeReleased' | 'enginesTold'
> = {
  placeAsked: (state, ask, from, now) => queuePlace(state, ask, from, now),
  placeStarted: (state, { request, engine }, _from, now) => {
    const owned = state.residency.owned.get(engine);
    const place = owned?.places.get(request);
    if (owned === undefined || place === undefined) return [];
    noteRead(owned, place);
    return servePlaces(state, owned, now);
  },
  placeReleased: (state, { request, engine, result }, _from, now) => {
    const owned = state.residency.owned.get(engine);
    if (owned === undefined) return [];
    const adapter = owned.places.get(request)?.adapter;
    releasePlace(owned, request);
    const copy = adapter === undefined ? undefined : owned.copies.get(adapter);
    if (result === 'brokenOff' && copy !== undefined) copy.busyUntil = now + BREAK_OFF_MS;
    if (result === 'missing' && adapter !== undefined) {
      owned.copies.delete(adapter);
      forgetCopies(owned, now);
    }
    return servePlaces(state, owned, now);
  },
  enginesTold: (state, told, from, now) => {
    hearEngines(state, told, from, now);
    return [];
  },
};

export const residencyEvents: EventHandlers<ResidencyEvent['type']> = {
  adapterOrdered: (state, { engine, epoch, order, answer }, now) => {
    const owned = state.residency.owned.get(engine);
    // After a change of owner or a restart of the engine the answer says nothing of it.
    if (owned?.ordering !== order) return [];
    const isOld = answer.type === 'fenced' && owned.epoch > epoch;
    return continueOrder(state, owned, order, isOld ? { type: 'conflict' } : answer, now);
  },
  adaptersReported: (state, { engine, report, reason }, now) => {
    const owned = state.residency.owned.get(engine);
    if (owned === undefined) return [];
    const failed =
      report === undefined ? [newLog('warn', 'engine report failed', { engine, reason })] : [];
    return [...failed, ...takeReport(state, owned, report, now)];
  },
};

export const residencyTimers: TimerHandlers<ResidencyTimer['type']> = {
  servePlaces: (state, { engine }, now) => {
    const owned = state.residency.owned.get(engine);
    return owned === undefined ? [] : servePlaces(state, owned, now);
  },
  tellEngines: (state, _timer, now) => tellEngines(state, now),
};
