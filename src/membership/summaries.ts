import { getRendezvousOrder, hash32 } from '../base/hash.ts';
import { sendMessage } from '../core/sendMessage.ts';
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

/** Children of each host in the distribution tree of a zone. */
const FAN_OUT = 2;

/**
 * On a relay, sends updates of this zone's engines to one relay of each other zone. The relays of a
 * zone divide its engines by a hash of the engine id.
 */
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
  const updates = selectUpdates(candidates, budget);
  for (const update of updates)
    recordSentUpdate(membership.summarizedStates, engines.views.get(update.e), update, now);
  // The rest of the budget repeats earlier updates for hosts that missed them.
  const remaining =
    budget - DELTA_BASE_BYTES - updates.reduce((sum, update) => sum + getUpdateBytes(update), 0);
  const repeats = Math.max(0, Math.floor(remaining / ENGINE_UPDATE_BYTES));
  updates.push(...getRepeatedUpdates(membership.summarizedStates, state.random, repeats));
  if (updates.length === 0) return [];
  const delta: EngineDelta = { type: 'engineDelta', root: host.id, news: updates };
  return getZones(state)
    .filter((zone) => zone !== host.zone)
    .flatMap((zone) => getLinkedRelay(state, zone, rank))
    .map((to) => sendMessage(state, to, delta));
}

/** Forwards updates from another zone down the distribution tree of this zone's hosts. */
export function forwardSummary(state: State, delta: EngineDelta, from: string): Effect[] {
  if (delta.root === undefined) return [];
  const isFromOtherZone = state.membership.hosts.get(from)?.zone !== state.host.zone;
  const root = isFromOtherZone ? state.host.id : delta.root;
  return getTreeChildren(state, root).map((to) => sendMessage(state, to, { ...delta, root }));
}

/** Returns this host's children in the distribution tree of `root`. */
export function getTreeChildren(state: State, root: string): string[] {
  const { id } = state.host;
  const others = [...getZonePeers(state), id].filter((host) => host !== root);
  const order = [root, ...getRendezvousOrder(root, others)];
  const firstChild = order.indexOf(id) * FAN_OUT + 1;
  return order.slice(firstChild, firstChild + FAN_OUT);
}

function getLinkedRelay(state: State, zone: string, rank: number): string[] {
  const relays = getRelays(state, zone);
  const preferred = [...relays.slice(rank), ...relays.slice(0, rank)];
  return preferred.filter((relay) => state.membership.linkedHosts.has(relay)).slice(0, 1);
}

function getSummary(state: State, engine: string): UpdateCandidate | undefined {
  const { sentStates, receivedVersions, summarizedStates } = state.membership;
  const view = state.engines.views.get(engine);
  const newest = state.grants.owned.has(engine)
    ? sentStates.get(engine)
    : receivedVersions.get(engine);
  if (view === undefined || newest === undefined || newest.sequence < 0) return undefined;
  const sent = summarizedStates.get(engine);
  if (sent?.epoch === newest.epoch && sent.sequence === newest.sequence) return undefined;
  const base = sent?.epoch === newest.epoch ? sent : undefined;
  const residents = base?.residents ?? new Set<string>();
  const add = [...view.residents].filter((model) => !residents.has(model));
  const del = [...residents].filter((model) => !view.residents.has(model));
  const update: EngineUpdate = {
    e: engine,
    p: newest.epoch,
    s: newest.sequence,
    b: base?.sequence ?? -1,
    l: [view.running, view.waiting],
  };
  if (base?.state !== view.state) update.state = view.state;
  if (add.length > 0) update.add = add;
  if (del.length > 0) update.del = del;
  const isUrgent = base === undefined || add.length > 0 || del.length > 0;
  return { update, isUrgent, lastSentAt: sent?.sentAt ?? -Infinity };
}
