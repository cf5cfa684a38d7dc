import { getRendezvousOrder, hash32 } from '../base/hash.ts';
import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import {
  DELTA_BASE_BYTES,
  ENGINE_UPDATE_BYTES,
  SUMMARY_BYTES_PER_S,
  SUMMARY_INTERVAL_MS,
} from './constants.ts';
import { getRelays, getZonePeers, getZones, isFullMesh } from './hosts.ts';
import {
  type UpdateCandidate,
  selectUpdates,
  getRepeatedUpdates,
  getUpdateBytes,
  recordSentUpdate,
} from './sentUpdates.ts';
import type { EngineDelta, EngineUpdate } from './types.ts';

const FAN_OUT = 2;

/** As a relay, sends news of this zone's engines to one relay of each other zone. */
export function sendSummaries(state: State, now: number): Effect[] {
  const { host, membership, engines } = state;
  const relays = getRelays(state, host.zone);
  const rank = relays.indexOf(host.id);
  if (rank < 0 || isFullMesh(state)) return [];
  const candidates: UpdateCandidate[] = [];
  for (const { id, zone } of state.configuration.engines.values()) {
    if (zone !== host.zone || hash32(id) % relays.length !== rank) continue;
    const candidate = getSummary(state, id);
    if (candidate !== undefined) candidates.push(candidate);
  }
  const budget = (SUMMARY_BYTES_PER_S * SUMMARY_INTERVAL_MS) / 1000;
  const news = selectUpdates(candidates, budget);
  for (const one of news)
    recordSentUpdate(membership.summarizedStates, engines.views.get(one.e), one, now);
  // The rest of the budget repeats old news, for hosts that missed it.
  const left = budget - DELTA_BASE_BYTES - news.reduce((sum, one) => sum + getUpdateBytes(one), 0);
  const repeats = Math.max(0, Math.floor(left / ENGINE_UPDATE_BYTES));
  news.push(...getRepeatedUpdates(membership.summarizedStates, state.random, repeats));
  if (news.length === 0) return [];
  const delta: EngineDelta = { type: 'engineDelta', root: host.id, news };
  return getZones(state)
    .filter((zone) => zone !== host.zone)
    .flatMap((zone) => getLinkedRelay(state, zone, rank))
    .map((to) => deliver(state, to, delta));
}

/** Passes news from another zone down the tree of this zone's hosts. */
export function forwardSummary(state: State, delta: EngineDelta, from: string): Effect[] {
  if (delta.root === undefined) return [];
  const isFromOutside = state.membership.hosts.get(from)?.zone !== state.host.zone;
  const root = isFromOutside ? state.host.id : delta.root;
  return getTreeChildren(state, root).map((to) => deliver(state, to, { ...delta, root }));
}

/** Returns the hosts to which this one passes news on in the tree of `root`. */
export function getTreeChildren(state: State, root: string): string[] {
  const { id } = state.host;
  const others = [...getZonePeers(state), id].filter((host) => host !== root);
  const order = [root, ...getRendezvousOrder(root, others)];
  const first = order.indexOf(id) * FAN_OUT + 1;
  return order.slice(first, first + FAN_OUT);
}

function getLinkedRelay(state: State, zone: string, rank: number): string[] {
  const relays = getRelays(state, zone);
  const preferred = [...relays.slice(rank), ...relays.slice(0, rank)];
  return preferred.filter((relay) => state.membership.linkedHosts.has(relay)).slice(0, 1);
}

function getSummary(state: State, engine: string): UpdateCandidate | undefined {
  const {
    sentStates: spread,
    receivedVersions: received,
    summarizedStates: summarized,
  } = state.membership;
  const view = state.engines.views.get(engine);
  const known = state.grants.owned.has(engine) ? spread.get(engine) : received.get(engine);
  if (view === undefined || known === undefined || known.sequence < 0) return undefined;
  const told = summarized.get(engine);
  if (told?.epoch === known.epoch && told.sequence === known.sequence) return undefined;
  const base = told?.epoch === known.epoch ? told : undefined;
  const residents = base?.residents ?? new Set<string>();
  const add = [...view.residents].filter((model) => !residents.has(model));
  const del = [...residents].filter((model) => !view.residents.has(model));
  const news: EngineUpdate = {
    e: engine,
    p: known.epoch,
    s: known.sequence,
    b: base?.sequence ?? -1,
    l: [view.running, view.waiting],
  };
  if (base?.state !== view.state) news.state = view.state;
  if (add.length > 0) news.add = add;
  if (del.length > 0) news.del = del;
  const isUrgent = base === undefined || add.length > 0 || del.length > 0;
  return { update: news, isUrgent, lastSentAt: told?.sentAt ?? -Infinity };
}
