import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { ANNOUNCE_INTERVAL_MS, ANNOUNCE_INTERVAL_PER_HOST_MS } from './constants.ts';
import { countOpenSlots, getSlotLimit } from './copies.ts';
import { getPrefillBacklogMs, getPrefillMs } from './prefill.ts';
import { isLoadingModel } from './modelOrders.ts';
import { getOwnedEngineClass } from './reservations.ts';
import type { EngineStatusAnnouncement, EngineResidency, EngineStatus } from './types.ts';

/** Has the other hosts told of changes of the owned engines after a short while. */
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

/** Tells all linked hosts of the owned engines. */
export function announceEngineStatus(state: State, now: number): Effect[] {
  state.residency.isAnnouncementScheduled = false;
  const engines = [...state.residency.owned.values()].map((owned) =>
    newToldEngine(state, owned, now),
  );
  if (engines.length === 0) return [];
  return [
    newLog('debug', 'owned engines', { engines: engines.map(newSummary) }),
    ...[...state.owners.linkedHosts].map((to) =>
      sendMessage(state, to, { type: 'enginesTold', engines }),
    ),
  ];
}

/** Takes up what an owner tells of its engines. */
export function applyEngineStatus(
  state: State,
  { engines }: EngineStatusAnnouncement,
  from: string,
  now: number,
): void {
  const { remoteStatuses: told } = state.residency;
  for (const engine of engines) {
    const known = told.get(engine.engine);
    if (known !== undefined && known.epoch > engine.epoch) continue;
    told.set(engine.engine, { ...engine, from, receivedAt: now, sentPrefillMs: 0 });
  }
}

/** Returns what is known of an engine now: from its own state when it is owned here. */
export function getEngineStatus(
  state: State,
  engine: string,
  now: number,
): EngineStatus | undefined {
  const owned = state.residency.owned.get(engine);
  if (owned !== undefined) return newToldEngine(state, owned, now);
  const told = state.residency.remoteStatuses.get(engine);
  if (told === undefined) return undefined;
  return {
    ...told,
    backlogMs: Math.max(0, told.backlogMs + told.sentPrefillMs - (now - told.receivedAt)),
  };
}

function newToldEngine(state: State, owned: EngineResidency, now: number): EngineStatus {
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
    backlogMs: Math.round(getPrefillBacklogMs(owned)) + getQueueMs(owned),
    running: owned.reservations.size,
    models: [...owned.models],
    isLoadingModel: isLoadingModel(state, owned, now),
    openSlots: countOpenSlots(owned, limit) - waiting.size,
    adapters,
  };
}

function newSummary(told: EngineStatus) {
  const { engine, backlogMs, running, openSlots, adapters, isLoadingModel } = told;
  return { engine, backlogMs, running, openSlots, adapters: adapters.length, isLoadingModel };
}

function getQueueMs(owned: EngineResidency): number {
  return Math.round(owned.queue.reduce((sum, ask) => sum + getPrefillMs(ask.promptTokens), 0));
}
