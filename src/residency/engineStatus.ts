import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { ANNOUNCE_INTERVAL_MS, ANNOUNCE_INTERVAL_PER_HOST_MS } from './constants.ts';
import { countOpenSlots, getSlotLimit } from './copies.ts';
import { getPrefillBacklogMs, getQueuePrefillMs } from './prefill.ts';
import { isLoadingModel } from './modelOrders.ts';
import { getOwnedEngineClass } from './reservations.ts';
import type { EngineStatusAnnouncement, EngineResidency, EngineStatus } from './types.ts';

/** Schedules an announcement of the owned engines unless one is scheduled already. */
export function scheduleAnnouncement(state: State, now: number): void {
  const { residency, owners } = state;
  if (residency.isAnnouncementScheduled) return;
  residency.isAnnouncementScheduled = true;
  const interval = Math.max(
    ANNOUNCE_INTERVAL_MS,
    ANNOUNCE_INTERVAL_PER_HOST_MS * owners.linkedHosts.size,
  );
  schedule(state, now + interval, { type: 'announceEngineStatus' });
}

/** Announces the status of the owned engines to all linked hosts. */
export function announceEngineStatus(state: State, now: number): Effect[] {
  state.residency.isAnnouncementScheduled = false;
  const engines = [...state.residency.owned.values()].map((owned) =>
    newEngineStatus(state, owned, now),
  );
  if (engines.length === 0) return [];
  const announcement = { type: 'enginesTold' as const, engines };
  return [
    newLog('debug', 'announcing engine status', { engines: engines.map(newStatusSummary) }),
    ...[...state.owners.linkedHosts].map((to) => sendMessage(state, to, announcement)),
  ];
}

/** Applies the announced status of engines that another host owns. */
export function applyEngineStatus(
  state: State,
  { engines }: EngineStatusAnnouncement,
  from: string,
  now: number,
): void {
  const { remoteStatuses } = state.residency;
  for (const engine of engines) {
    const known = remoteStatuses.get(engine.engine);
    if (known !== undefined && known.epoch > engine.epoch) continue;
    remoteStatuses.set(engine.engine, { ...engine, from, receivedAt: now, sentPrefillMs: 0 });
  }
}

/** Returns the status of an engine: its state if it is owned here, else the announced status. */
export function getEngineStatus(
  state: State,
  engine: string,
  now: number,
): EngineStatus | undefined {
  const owned = state.residency.owned.get(engine);
  if (owned !== undefined) return newEngineStatus(state, owned, now);
  const status = state.residency.remoteStatuses.get(engine);
  if (status === undefined) return undefined;
  return {
    ...status,
    backlogMs: Math.max(0, status.backlogMs + status.sentPrefillMs - (now - status.receivedAt)),
  };
}

function newEngineStatus(state: State, owned: EngineResidency, now: number): EngineStatus {
  const engine = getOwnedEngineClass(state, owned);
  const limit = engine === undefined ? 0 : getSlotLimit(engine, owned.models);
  const { versions } = state.residency;
  const adapters: [string, number][] = [];
  const waiting = new Set<string>();
  for (const { adapter, phase, version } of owned.copies.values()) {
    const isStale = (version ?? 0) < (versions.get(adapter) ?? 0);
    if (phase !== 'unloading' && !isStale) adapters.push([adapter, version ?? 0]);
  }
  for (const { adapter } of owned.queue) {
    if (adapter !== '' && !owned.copies.has(adapter)) waiting.add(adapter);
  }
  return {
    engine: owned.id,
    epoch: owned.epoch,
    backlogMs: Math.round(getPrefillBacklogMs(owned)) + Math.round(getQueuePrefillMs(owned)),
    running: owned.reservations.size,
    models: [...owned.models],
    isLoadingModel: isLoadingModel(state, owned, now),
    openSlots: countOpenSlots(owned, limit) - waiting.size,
    adapters,
    tokensPerMs: owned.speed.rate,
  };
}

function newStatusSummary(status: EngineStatus) {
  const { engine, backlogMs, running, openSlots, adapters, isLoadingModel } = status;
  return { engine, backlogMs, running, openSlots, adapters: adapters.length, isLoadingModel };
}
