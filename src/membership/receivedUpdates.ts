import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { addResident, getOrCreateEngineView, removeResident } from '../engines/views.ts';
import {
  FULL_UPDATE_REQUEST_INTERVAL_MS,
  MAX_MISSING_ENGINES,
  MISSING_ENGINE_REQUEST_INTERVAL_MS,
} from './constants.ts';
import { getZonePeers } from './hosts.ts';
import type { EngineDelta, EngineUpdate, ReceivedVersion } from './types.ts';

/** Applies updates of engines owned by other hosts; after gaps requests full updates from `from`. */
export function applyEngineDelta(
  state: State,
  delta: EngineDelta,
  from: string,
  now: number,
): Effect[] {
  const gaps: string[] = [];
  if (delta.root === undefined) refreshViews(state, from, now);
  for (const update of delta.news) {
    const isOwnedElsewhere =
      state.configuration.engines.has(update.e) && !state.grants.owned.has(update.e);
    if (isOwnedElsewhere && !applyUpdate(state, update, from, now)) gaps.push(update.e);
  }
  return requestFullUpdates(state, gaps, from, now);
}

/** Returns a full update of `engine`, or undefined when this host has no state of it. */
export function getFullUpdate(state: State, engine: string): EngineUpdate | undefined {
  const sent = state.membership.sentStates.get(engine);
  if (sent !== undefined && state.grants.owned.has(engine)) {
    const { epoch, sequence, running, waiting, residents } = sent;
    return newFullUpdate(engine, { epoch, sequence }, sent.state, [running, waiting], residents);
  }
  const view = state.engines.views.get(engine);
  const version = state.membership.receivedVersions.get(engine);
  if (view === undefined || version === undefined || version.sequence < 0) return undefined;
  return newFullUpdate(engine, version, view.state, [view.running, view.waiting], view.residents);
}

/**
 * Requests full updates from a random peer of the zone for up to `MAX_MISSING_ENGINES` engines
 * without any received update.
 */
export function requestMissingEngines(state: State, now: number): Effect[] {
  const peers = getZonePeers(state);
  const peer = peers[state.random.getInteger(Math.max(1, peers.length))];
  if (peer === undefined) return [];
  const missing: string[] = [];
  for (const engine of state.configuration.engines.keys()) {
    if (missing.length >= MAX_MISSING_ENGINES) break;
    const version = state.membership.receivedVersions.get(engine);
    if (
      version !== undefined &&
      (version.sequence >= 0 || version.requestedAt + MISSING_ENGINE_REQUEST_INTERVAL_MS > now)
    ) {
      continue;
    }
    if (!state.grants.owned.has(engine)) missing.push(engine);
  }
  return requestFullUpdates(state, missing, peer, now);
}

function newFullUpdate(
  engine: string,
  at: { epoch: number; sequence: number },
  engineState: EngineUpdate['state'],
  load: [number, number],
  residents: Set<string>,
): EngineUpdate {
  const { epoch: p, sequence: s } = at;
  return { e: engine, p, s, b: -1, state: engineState, l: load, add: [...residents] };
}

/** Returns false when an update between the last received one and `update` was missed. */
function applyUpdate(state: State, update: EngineUpdate, from: string, now: number): boolean {
  const version = state.membership.receivedVersions.get(update.e);
  const versionDifference =
    version === undefined ? 1 : update.p - version.epoch || update.s - version.sequence;
  if (versionDifference <= 0) return true;
  const isNext = version?.epoch === update.p && version.sequence === update.b;
  if (update.b !== -1 && !isNext) return false;
  const { engines } = state;
  const view = getOrCreateEngineView(engines, update.e);
  if (update.b === -1) {
    const kept = new Set(update.add);
    for (const model of [...view.residents]) {
      if (!kept.has(model)) removeResident(engines, update.e, model);
    }
  }
  for (const model of update.del ?? []) removeResident(engines, update.e, model);
  for (const model of update.add ?? []) addResident(engines, update.e, model);
  if (update.state !== undefined) view.state = update.state;
  [view.running, view.waiting] = update.l;
  view.sentSinceReport = 0;
  view.reportedAt = now;
  view.epoch = Math.max(view.epoch, update.p);
  const next: ReceivedVersion = {
    epoch: update.p,
    sequence: update.s,
    from,
    requestedAt: -Infinity,
  };
  state.membership.receivedVersions.set(update.e, next);
  return true;
}

/** Any update from an owner confirms that its last updates of all its engines still hold. */
function refreshViews(state: State, from: string, now: number): void {
  for (const [engine, version] of state.membership.receivedVersions) {
    if (version.from !== from) continue;
    const view = state.engines.views.get(engine);
    if (view !== undefined) view.reportedAt = now;
  }
}

function requestFullUpdates(state: State, engines: string[], from: string, now: number): Effect[] {
  const { receivedVersions } = state.membership;
  const requested = engines.filter((engine) => {
    const version = receivedVersions.get(engine);
    if (version === undefined) {
      receivedVersions.set(engine, { epoch: 0, sequence: -1, from: '', requestedAt: now });
    } else {
      if (version.requestedAt + FULL_UPDATE_REQUEST_INTERVAL_MS > now) return false;
      version.requestedAt = now;
    }
    return true;
  });
  return requested.length === 0
    ? []
    : [sendMessage(state, from, { type: 'engineWanted', engines: requested })];
}
