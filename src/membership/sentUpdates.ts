import type { Random } from '../base/random.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { EngineView } from '../engines/types.ts';
import {
  DELTA_BASE_BYTES,
  ENGINE_REFRESH_INTERVAL_MS,
  ENGINE_UPDATE_BYTES,
  ENGINE_UPDATE_BYTES_PER_S,
  LARGE_LOAD_CHANGE_RATIO,
  MAX_CREDIT_BYTES,
  MIN_UPDATES_PER_MESSAGE,
  SMALL_LOAD_CHANGE_DELAY_MS,
} from './constants.ts';
import { getZonePeers, isFullMesh } from './hosts.ts';
import type { EngineUpdate, SentEngineState } from './types.ts';

/** An engine update that may be sent when the byte budget allows. */
export interface UpdateCandidate {
  update: EngineUpdate;
  /** Whether the update is sent before those that change the load only. */
  isUrgent: boolean;
  /** Monotonic ms at which the last update of the engine was sent. */
  lastSentAt: number;
}

/**
 * Sends changes of the owned engines, within the byte budget: to all linked hosts in a full mesh,
 * otherwise to those of this zone.
 */
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
    const sent = membership.sentStates.get(engine);
    const candidate = getUpdateCandidate(state, view, sent, owned.epoch, now);
    if (candidate !== undefined) candidates.push(candidate);
  }
  const credit = updateCredit(state, peers.length, now);
  const minBytes =
    DELTA_BASE_BYTES + Math.min(MIN_UPDATES_PER_MESSAGE, candidates.length) * ENGINE_UPDATE_BYTES;
  const canSend = candidates.some((candidate) => candidate.isUrgent)
    ? credit > 0
    : credit >= minBytes;
  const chosen = canSend ? selectUpdates(candidates, credit) : [];
  for (const update of chosen)
    recordSentUpdate(membership.sentStates, engines.views.get(update.e), update, now);
  if (membership.repeatedAt + ENGINE_REFRESH_INTERVAL_MS <= now) {
    membership.repeatedAt = now;
    chosen.push(...getRepeatedUpdates(membership.sentStates, state.random, 1));
  }
  if (chosen.length === 0) return [];
  membership.creditBytes -= chosen.reduce(
    (sum, update) => sum + getUpdateBytes(update),
    DELTA_BASE_BYTES,
  );
  return peers.map((to) => sendMessage(state, to, { type: 'engineDelta', news: chosen }));
}

/** Returns the candidates that fit into `budget` bytes in order of priority; at least one. */
export function selectUpdates(candidates: UpdateCandidate[], budget: number): EngineUpdate[] {
  candidates.sort((a, b) => Number(b.isUrgent) - Number(a.isUrgent) || a.lastSentAt - b.lastSentAt);
  const chosen: EngineUpdate[] = [];
  let remaining = budget - DELTA_BASE_BYTES;
  for (const { update } of candidates) {
    remaining -= getUpdateBytes(update);
    if (remaining < 0 && chosen.length > 0) break;
    chosen.push(update);
  }
  return chosen;
}

/** Returns the changes since the last update of an engine, or undefined when none is due yet. */
export function getUpdateCandidate(
  state: State,
  view: EngineView,
  sent: SentEngineState | undefined,
  epoch: number,
  now: number,
): UpdateCandidate | undefined {
  const load: [number, number] = [view.running, view.waiting];
  if (sent?.epoch !== epoch) {
    const update: EngineUpdate = {
      e: view.id,
      p: epoch,
      s: 0,
      b: -1,
      state: view.state,
      l: load,
      add: [...view.residents],
    };
    return { update, isUrgent: true, lastSentAt: -Infinity };
  }
  const add = [...view.residents].filter((model) => !sent.residents.has(model));
  const del = [...sent.residents].filter((model) => !view.residents.has(model));
  const isUrgent = add.length > 0 || del.length > 0 || sent.state !== view.state;
  if (!isUrgent && !isLoadChangeDue(state, view, sent, now)) return undefined;
  const update: EngineUpdate = {
    e: view.id,
    p: epoch,
    s: sent.sequence + 1,
    b: sent.sequence,
    l: load,
  };
  if (sent.state !== view.state) update.state = view.state;
  if (add.length > 0) update.add = add;
  if (del.length > 0) update.del = del;
  return { update, isUrgent, lastSentAt: sent.sentAt };
}

/** Records the state sent in `update`; the next update holds only the changes since then. */
export function recordSentUpdate(
  sentStates: Map<string, SentEngineState>,
  view: EngineView | undefined,
  update: EngineUpdate,
  now: number,
): void {
  if (view === undefined) return;
  sentStates.set(update.e, {
    epoch: update.p,
    sequence: update.s,
    state: view.state,
    running: update.l[0],
    waiting: update.l[1],
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

function isLoadChangeDue(
  state: State,
  view: EngineView,
  sent: SentEngineState,
  now: number,
): boolean {
  const change = Math.abs(view.running - sent.running) + Math.abs(view.waiting - sent.waiting);
  if (change === 0) return false;
  const batch = state.configuration.engines.get(view.id)?.batch ?? 1;
  return (
    change >= Math.max(1, batch * LARGE_LOAD_CHANGE_RATIO) ||
    sent.sentAt + SMALL_LOAD_CHANGE_DELAY_MS <= now
  );
}

/**
 * Returns updates without changes that repeat the last sequence number of up to `count` engines. A
 * receiver that missed the last update sees the gap and requests a full update.
 */
export function getRepeatedUpdates(
  sentStates: Map<string, SentEngineState>,
  random: Random,
  count: number,
): EngineUpdate[] {
  const states = [...sentStates];
  const first = random.getInteger(Math.max(1, states.length));
  return [...states.slice(first), ...states.slice(0, first)]
    .slice(0, count)
    .map(([engine, { epoch, sequence, running, waiting }]) => {
      return { e: engine, p: epoch, s: sequence, b: sequence, l: [running, waiting] };
    });
}

/** Returns the estimated encoded size of an engine update. */
export function getUpdateBytes({ add = [], del = [] }: EngineUpdate): number {
  let size = ENGINE_UPDATE_BYTES;
  for (const model of add) size += model.length + 2;
  for (const model of del) size += model.length + 2;
  return size;
}
