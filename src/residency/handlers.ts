import type { EventHandlers, MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { newLog } from '../core/observations.ts';
import { releasePermit } from '../limits/permitQueue.ts';
import { CANCELLED_REQUEST_MAX_RUN_MS } from './constants.ts';
import { handleOrderAnswer, requireReport, applyAdapterReport } from './adapterOrders.ts';
import { keepOrderConnections } from './orderKeepAlive.ts';
import { completePrefill } from './prefill.ts';
import { queueReservation, releaseReservation, serveReservations } from './reservations.ts';
import { applyEngineStatus, announceEngineStatus } from './engineStatus.ts';
import { addWantedAdapter } from './relocation.ts';
import type { State } from '../core/state.ts';
import type { EngineResidency, ResidencyEvent, ResidencyTimer } from './types.ts';

/** Returns the engine at which a request waits or runs; its host may not have learned yet that it was moved. */
function findEngineOf(
  { residency }: State,
  engine: string,
  request: string,
): EngineResidency | undefined {
  const asked = residency.owned.get(engine);
  if (asked === undefined || holdsRequest(asked, request)) return asked;
  return [...residency.owned.values()].find((owned) => holdsRequest(owned, request)) ?? asked;
}

function holdsRequest({ queue, reservations }: EngineResidency, request: string): boolean {
  return reservations.has(request) || queue.some((queued) => queued.request === request);
}

export const residencyMessages: MessageHandlers<
  'placeAsked' | 'placeStarted' | 'placeReleased' | 'enginesTold' | 'adapterWanted'
> = {
  placeAsked: (state, message, from, now) => queueReservation(state, message, from, now),
  placeStarted: (state, { request, engine }, _from, now) => {
    const owned = state.residency.owned.get(engine);
    const reservation = owned?.reservations.get(request);
    if (owned === undefined || reservation?.isPrefilling !== true) return [];
    owned.speed.recordStart(reservation.promptTokens, reservation.grantedAt, now);
    completePrefill(owned, reservation);
    return serveReservations(state, owned, now);
  },
  placeReleased: (state, { request, engine, result, isRefused = false }, _from, now) => {
    const owned = findEngineOf(state, engine, request);
    if (owned === undefined) return releasePermit(state, engine, request, isRefused, now);
    const adapter = owned.reservations.get(request)?.adapter;
    releaseReservation(owned, request);
    const copy = adapter === undefined ? undefined : owned.copies.get(adapter);
    if (result === 'brokenOff' && copy !== undefined)
      copy.busyUntil = now + CANCELLED_REQUEST_MAX_RUN_MS;
    if (result === 'missing' && adapter !== undefined) {
      owned.copies.delete(adapter);
      requireReport(owned, now);
    }
    return serveReservations(state, owned, now);
  },
  adapterWanted: (state, message, _from, now) => addWantedAdapter(state, message, now),
  enginesTold: (state, announcement, from, now) => {
    applyEngineStatus(state, announcement, from, now);
    return [];
  },
};

export const residencyEvents: EventHandlers<ResidencyEvent['type']> = {
  adapterOrderAnswered: (state, { engine, epoch, order, answer }, now) => {
    const owned = state.residency.owned.get(engine);
    // Ignores answers to orders from before a change of owner or a restart of the engine.
    if (owned?.orderInFlight !== order) return [];
    const isFormerEpoch = answer.type === 'fenced' && owned.epoch > epoch;
    return handleOrderAnswer(
      state,
      owned,
      order,
      isFormerEpoch ? { type: 'conflict' } : answer,
      now,
    );
  },
  adapterReportRead: (state, { engine, report, reason }, now) => {
    const owned = state.residency.owned.get(engine);
    if (owned === undefined) return [];
    const failed =
      report === undefined ? [newLog('warn', 'engine report failed', { engine, reason })] : [];
    return [...failed, ...applyAdapterReport(state, owned, report, now)];
  },
};

export const residencyTimers: TimerHandlers<ResidencyTimer['type']> = {
  serveReservations: (state, { engine }, now) => {
    const owned = state.residency.owned.get(engine);
    return owned === undefined ? [] : serveReservations(state, owned, now);
  },
  announceEngineStatus: (state, _timer, now) => announceEngineStatus(state, now),
  keepOrderConnections: (state, _timer, now) => keepOrderConnections(state, now),
};
