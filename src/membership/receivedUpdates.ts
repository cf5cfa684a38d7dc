import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { addResident, getOrCreateEngineView, removeResident } from '../engines/views.ts';
import {
  MISSING_ENGINE_REQUEST_INTERVAL_MS,
  MAX_MISSING_ENGINES,
  FULL_UPDATE_REQUEST_INTERVAL_MS,
} from './constants.ts';
import { getZonePeers } from './hosts.ts';
import type { EngineDelta, EngineUpdate, ReceivedVersion } from './types.ts';

/** Applies news of engines that others own; asks `from` for complete news where some was missed. */
export function applyEngineDelta(
  state: State,
  delta: EngineDelta,
  from: string,
  now: number,
): Effect[] {
  const gaps: string[] = [];
  if (delta.root === undefined) refreshViews(state, from, now);
  for (const news of delta.news) {
    const isForeign = state.configuration.engines.has(news.e) && !state.grants.owned.has(news.e);
    if (isForeign && !applyNews(state, news, from, now)) gaps.push(news.e);
  }
  return askForNews(state, gaps, from, now);
}

/** Returns complete news of `engine` as this host knows it, or undefined when it knows none. */
export function getFullUpdate(state: State, engine: string): EngineUpdate | undefined {
  const told = state.membership.sentStates.get(engine);
  if (told !== undefined && state.grants.owned.has(engine)) {
    const { epoch, sequence, running, waiting, residents } = told;
    return newNews(engine, { epoch, sequence }, told.state, [running, waiting], residents);
  }
  const view = state.engines.views.get(engine);
  const record = state.membership.receivedVersions.get(engine);
  if (view === undefined || record === undefined || record.sequence < 0) return undefined;
  return newNews(engine, record, view.state, [view.running, view.waiting], view.residents);
}

/** Asks peers of the zone for engines of which nothing is known, a few at a time. */
export function requestMissingEngines(state: State, now: number): Effect[] {
  const peers = getZonePeers(state);
  const peer = peers[state.random.getInteger(Math.max(1, peers.length))];
  if (peer === undefined) return [];
  const missing: string[] = [];
  for (const engine of state.configuration.engines.keys()) {
    if (missing.length >= MAX_MISSING_ENGINES) break;
    const record = state.membership.receivedVersions.get(engine);
    if (
      record !== undefined &&
      (record.sequence >= 0 || record.requestedAt + MISSING_ENGINE_REQUEST_INTERVAL_MS > now)
    ) {
      continue;
    }
    if (!state.grants.owned.has(engine)) missing.push(engine);
  }
  return askForNews(state, missing, peer, now);
}

function newNews(
  engine: string,
  at: { epoch: number; sequence: number },
  engineState: EngineUpdate['state'],
  load: [number, number],
  residents: Set<string>,
): EngineUpdate {
  const { epoch: p, sequence: s } = at;
  return { e: engine, p, s, b: -1, state: engineState, l: load, add: [...residents] };
}

/** Returns false when news before this one was missed. */
function applyNews(state: State, news: EngineUpdate, from: string, now: number): boolean {
  const record = state.membership.receivedVersions.get(news.e);
  const age = record === undefined ? 1 : news.p - record.epoch || news.s - record.sequence;
  if (age <= 0) return true;
  const isNext = record?.epoch === news.p && record.sequence === news.b;
  if (news.b !== -1 && !isNext) return false;
  const { engines } = state;
  const view = getOrCreateEngineView(engines, news.e);
  if (news.b === -1) {
    const kept = new Set(news.add);
    for (const model of [...view.residents]) {
      if (!kept.has(model)) removeResident(engines, news.e, model);
    }
  }
  for (const model of news.del ?? []) removeResident(engines, news.e, model);
  for (const model of news.add ?? []) addResident(engines, news.e, model);
  if (news.state !== undefined) view.state = news.state;
  [view.running, view.waiting] = news.l;
  view.sentSinceReport = 0;
  view.reportedAt = now;
  view.epoch = Math.max(view.epoch, news.p);
  const next: ReceivedVersion = { epoch: news.p, sequence: news.s, from, requestedAt: -Infinity };
  state.membership.receivedVersions.set(news.e, next);
  return true;
}

/** Anything from an owner shows that its last word on each of its engines still holds. */
function refreshViews(state: State, from: string, now: number): void {
  for (const [engine, record] of state.membership.receivedVersions) {
    if (record.from !== from) continue;
    const view = state.engines.views.get(engine);
    if (view !== undefined) view.reportedAt = now;
  }
}

function askForNews(state: State, engines: string[], from: string, now: number): Effect[] {
  const { receivedVersions: received } = state.membership;
  const asked = engines.filter((engine) => {
    const record = received.get(engine);
    if (record === undefined) {
      received.set(engine, { epoch: 0, sequence: -1, from: '', requestedAt: now });
    } else {
      if (record.requestedAt + FULL_UPDATE_REQUEST_INTERVAL_MS > now) return false;
      record.requestedAt = now;
    }
    return true;
  });
  return asked.length === 0 ? [] : [deliver(state, from, { type: 'engineWanted', engines: asked })];
}
