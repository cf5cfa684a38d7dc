import type { Random } from '../base/random.ts';
import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { EngineView } from '../engines/types.ts';
import {
  DELTA_BASE_BYTES,
  LARGE_LOAD_CHANGE_RATIO,
  MAX_CREDIT_BYTES,
  MIN_UPDATES_PER_MESSAGE,
  ENGINE_UPDATE_BYTES,
  SMALL_LOAD_CHANGE_DELAY_MS,
  ENGINE_UPDATE_BYTES_PER_S,
  ENGINE_REFRESH_INTERVAL_MS,
} from './constants.ts';
import { getZonePeers, isFullMesh } from './hosts.ts';
import type { EngineUpdate, SentEngineState } from './types.ts';

/** A piece of news that may be sent; residents and state come before load. */
export interface UpdateCandidate {
  update: EngineUpdate;
  isUrgent: boolean;
  /** Monotonic ms of the last news of the engine. */
  lastSentAt: number;
}

/** Tells the hosts of the zone what changed of the owned engines, within the budget. */
export function sendEngineUpdates(state: State, now: number): Effect[] {
  const { membership, grants, engines } = state;
  for (const engine of membership.sentStates.keys()) {
    if (!grants.owned.has(engine)) membership.sentStates.delete(engine);
  }
  const peers = isFullMesh(state) ? [...membership.linkedHosts] : getZonePeers(state);
  if (peers.length === 0 || grants.owned.size === 0) return [];
  const candidates: UpdateCandidate[] = [];
  for (const [engine, owned] of grants.owned) {
    const view = engines.views.get(engine);
    if (view === undefined) continue;
    const told = membership.sentStates.get(engine);
    const candidate = getUpdateCandidate(state, view, told, owned.epoch, now);
    if (candidate !== undefined) candidates.push(candidate);
  }
  const credit = updateCredit(state, peers.length, now);
  const least =
    DELTA_BASE_BYTES + Math.min(MIN_UPDATES_PER_MESSAGE, candidates.length) * ENGINE_UPDATE_BYTES;
  const isSent = candidates.some((one) => one.isUrgent) ? credit > 0 : credit >= least;
  const chosen = isSent ? selectUpdates(candidates, credit) : [];
  for (const news of chosen)
    recordSentUpdate(membership.sentStates, engines.views.get(news.e), news, now);
  if (membership.repeatedAt + ENGINE_REFRESH_INTERVAL_MS <= now) {
    membership.repeatedAt = now;
    chosen.push(...getRepeatedUpdates(membership.sentStates, state.random, 1));
  }
  if (chosen.length === 0) return [];
  membership.creditBytes -= chosen.reduce(
    (sum, news) => sum + getUpdateBytes(news),
    DELTA_BASE_BYTES,
  );
  return peers.map((to) => deliver(state, to, { type: 'engineDelta', news: chosen }));
}

/** Returns the candidates that fit into `budget` bytes; at least one. */
export function selectUpdates(candidates: UpdateCandidate[], budget: number): EngineUpdate[] {
  candidates.sort((a, b) => Number(b.isUrgent) - Number(a.isUrgent) || a.lastSentAt - b.lastSentAt);
  const chosen: EngineUpdate[] = [];
  let left = budget - DELTA_BASE_BYTES;
  for (const { update: news } of candidates) {
    left -= getUpdateBytes(news);
    if (left < 0 && chosen.length > 0) break;
    chosen.push(news);
  }
  return chosen;
}

/** Returns what changed of an engine since it was told last; undefined when it can wait. */
export function getUpdateCandidate(
  state: State,
  view: EngineView,
  told: SentEngineState | undefined,
  epoch: number,
  now: number,
): UpdateCandidate | undefined {
  const load: [number, number] = [view.running, view.waiting];
  if (told?.epoch !== epoch) {
    const news: EngineUpdate = {
      e: view.id,
      p: epoch,
      s: 0,
      b: -1,
      state: view.state,
      l: load,
      add: [...view.residents],
    };
    return { update: news, isUrgent: true, lastSentAt: -Infinity };
  }
  const add = [...view.residents].filter((model) => !told.residents.has(model));
  const del = [...told.residents].filter((model) => !view.residents.has(model));
  const isUrgent = add.length > 0 || del.length > 0 || told.state !== view.state;
  if (!isUrgent && !isLoadTold(state, view, told, now)) return undefined;
  const news: EngineUpdate = {
    e: view.id,
    p: epoch,
    s: told.sequence + 1,
    b: told.sequence,
    l: load,
  };
  if (told.state !== view.state) news.state = view.state;
  if (add.length > 0) news.add = add;
  if (del.length > 0) news.del = del;
  return { update: news, isUrgent, lastSentAt: told.sentAt };
}

/** Keeps what was told, so that the next news builds on it. */
export function recordSentUpdate(
  records: Map<string, SentEngineState>,
  view: EngineView | undefined,
  news: EngineUpdate,
  now: number,
): void {
  if (view === undefined) return;
  records.set(news.e, {
    epoch: news.p,
    sequence: news.s,
    state: view.state,
    running: news.l[0],
    waiting: news.l[1],
    residents: new Set(view.residents),
    sentAt: now,
  });
}

function updateCredit({ membership }: State, peers: number, now: number): number {
  const elapsed = Math.min(now - membership.creditUpdatedAt, ENGINE_REFRESH_INTERVAL_MS);
  const earned = (ENGINE_UPDATE_BYTES_PER_S * elapsed) / 1000 / peers;
  membership.creditBytes = Math.min(MAX_CREDIT_BYTES, membership.creditBytes + earned);
  membership.creditUpdatedAt = now;
  return membership.creditBytes;
}

function isLoadTold(state: State, view: EngineView, told: SentEngineState, now: number): boolean {
  const change = Math.abs(view.running - told.running) + Math.abs(view.waiting - told.waiting);
  if (change === 0) return false;
  const batch = state.configuration.engines.get(view.id)?.batch ?? 1;
  return (
    change >= Math.max(1, batch * LARGE_LOAD_CHANGE_RATIO) ||
    told.sentAt + SMALL_LOAD_CHANGE_DELAY_MS <= now
  );
}

/** Returns the last news of some engines again; a receiver that missed it asks for all of it. */
export function getRepeatedUpdates(
  records: Map<string, SentEngineState>,
  random: Random,
  count: number,
): EngineUpdate[] {
  const told = [...records];
  const first = random.getInteger(Math.max(1, told.length));
  return [...told.slice(first), ...told.slice(0, first)]
    .slice(0, count)
    .map(([engine, { epoch, sequence, running, waiting }]) => {
      return { e: engine, p: epoch, s: sequence, b: sequence, l: [running, waiting] };
    });
}

/** Returns the estimated size of a piece of news in bytes. */
export function getUpdateBytes({ add = [], del = [] }: EngineUpdate): number {
  let size = ENGINE_UPDATE_BYTES;
  for (const model of add) size += model.length + 2;
  for (const model of del) size += model.length + 2;
  return size;
}
