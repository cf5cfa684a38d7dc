import type { Random } from '../base/random.ts';
import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { EngineView } from '../engines/types.ts';
import {
  DELTA_BASE_BYTES,
  LOAD_STEP,
  MAX_CREDIT_BYTES,
  MIN_NEWS,
  NEWS_BYTES,
  SMALL_CHANGE_MS,
  SPREAD_BYTES_PER_S,
  SPREAD_REFRESH_MS,
} from './constants.ts';
import { getZonePeers, isFullMesh } from './hosts.ts';
import type { EngineNews, SpreadRecord } from './types.ts';

/** A piece of news that may be sent; residents and state come before load. */
export interface Candidate {
  news: EngineNews;
  isUrgent: boolean;
  /** Monotonic ms of the last news of the engine. */
  toldAt: number;
}

/** Tells the hosts of the zone what changed of the owned engines, within the budget. */
export function spreadOwned(state: State, now: number): Effect[] {
  const { membership, grants, engines } = state;
  for (const engine of membership.spread.keys()) {
    if (!grants.owned.has(engine)) membership.spread.delete(engine);
  }
  const peers = isFullMesh(state) ? [...membership.linked] : getZonePeers(state);
  if (peers.length === 0 || grants.owned.size === 0) return [];
  const candidates: Candidate[] = [];
  for (const [engine, owned] of grants.owned) {
    const view = engines.views.get(engine);
    if (view === undefined) continue;
    const told = membership.spread.get(engine);
    const candidate = getCandidate(state, view, told, owned.epoch, now);
    if (candidate !== undefined) candidates.push(candidate);
  }
  const credit = updateCredit(state, peers.length, now);
  const least = DELTA_BASE_BYTES + Math.min(MIN_NEWS, candidates.length) * NEWS_BYTES;
  const isSent = candidates.some((one) => one.isUrgent) ? credit > 0 : credit >= least;
  const chosen = isSent ? chooseCandidates(candidates, credit) : [];
  for (const news of chosen) recordNews(membership.spread, engines.views.get(news.e), news, now);
  if (membership.repeatedAt + SPREAD_REFRESH_MS <= now) {
    membership.repeatedAt = now;
    chosen.push(...getRepeats(membership.spread, state.random, 1));
  }
  if (chosen.length === 0) return [];
  membership.credit -= chosen.reduce((sum, news) => sum + getSize(news), DELTA_BASE_BYTES);
  return peers.map((to) => deliver(state, to, { type: 'engineDelta', news: chosen }));
}

/** Returns the candidates that fit into `budget` bytes; at least one. */
export function chooseCandidates(candidates: Candidate[], budget: number): EngineNews[] {
  candidates.sort((a, b) => Number(b.isUrgent) - Number(a.isUrgent) || a.toldAt - b.toldAt);
  const chosen: EngineNews[] = [];
  let left = budget - DELTA_BASE_BYTES;
  for (const { news } of candidates) {
    left -= getSize(news);
    if (left < 0 && chosen.length > 0) break;
    chosen.push(news);
  }
  return chosen;
}

/** Returns what changed of an engine since it was told last; undefined when it can wait. */
export function getCandidate(
  state: State,
  view: EngineView,
  told: SpreadRecord | undefined,
  epoch: number,
  now: number,
): Candidate | undefined {
  const load: [number, number] = [view.running, view.waiting];
  if (told?.epoch !== epoch) {
    const news: EngineNews = {
      e: view.id,
      p: epoch,
      s: 0,
      b: -1,
      state: view.state,
      l: load,
      add: [...view.residents],
    };
    return { news, isUrgent: true, toldAt: -Infinity };
  }
  const add = [...view.residents].filter((model) => !told.residents.has(model));
  const del = [...told.residents].filter((model) => !view.residents.has(model));
  const isUrgent = add.length > 0 || del.length > 0 || told.state !== view.state;
  if (!isUrgent && !isLoadTold(state, view, told, now)) return undefined;
  const news: EngineNews = {
    e: view.id,
    p: epoch,
    s: told.sequence + 1,
    b: told.sequence,
    l: load,
  };
  if (told.state !== view.state) news.state = view.state;
  if (add.length > 0) news.add = add;
  if (del.length > 0) news.del = del;
  return { news, isUrgent, toldAt: told.at };
}

/** Keeps what was told, so that the next news builds on it. */
export function recordNews(
  records: Map<string, SpreadRecord>,
  view: EngineView | undefined,
  news: EngineNews,
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
    at: now,
  });
}

function updateCredit({ membership }: State, peers: number, now: number): number {
  const elapsed = Math.min(now - membership.creditedAt, SPREAD_REFRESH_MS);
  const earned = (SPREAD_BYTES_PER_S * elapsed) / 1000 / peers;
  membership.credit = Math.min(MAX_CREDIT_BYTES, membership.credit + earned);
  membership.creditedAt = now;
  return membership.credit;
}

function isLoadTold(state: State, view: EngineView, told: SpreadRecord, now: number): boolean {
  const change = Math.abs(view.running - told.running) + Math.abs(view.waiting - told.waiting);
  if (change === 0) return false;
  const batch = state.configuration.engines.get(view.id)?.batch ?? 1;
  return change >= Math.max(1, batch * LOAD_STEP) || told.at + SMALL_CHANGE_MS <= now;
}

/** Returns the last news of some engines again; a receiver that missed it asks for all of it. */
export function getRepeats(
  records: Map<string, SpreadRecord>,
  random: Random,
  count: number,
): EngineNews[] {
  const told = [...records];
  const first = random.getInteger(Math.max(1, told.length));
  return [...told.slice(first), ...told.slice(0, first)]
    .slice(0, count)
    .map(([engine, { epoch, sequence, running, waiting }]) => {
      return { e: engine, p: epoch, s: sequence, b: sequence, l: [running, waiting] };
    });
}

/** Returns the estimated size of a piece of news in bytes. */
export function getSize({ add = [], del = [] }: EngineNews): number {
  let size = NEWS_BYTES;
  for (const model of add) size += model.length + 2;
  for (const model of del) size += model.length + 2;
  return size;
}
