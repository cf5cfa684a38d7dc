import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { refreshOwnedEngines } from '../grants/owned.ts';
import { getPeersInOtherZones, getRelays, getZonePeers } from '../membership/hosts.ts';
import { captureHandovers, installHandover, sendHandovers } from './handover.ts';
import { getMemberKey, updateAcquiredEngines } from './acquiredEngines.ts';
import { addZoneRow, newKnownZoneRow, newZoneRowAnnouncement } from './rows.ts';
import type { ZoneRow, ZoneRowSeen } from './types.ts';

/** Acts by a row of this zone when its epoch is higher; `version` is empty when from a message. */
export function adoptZoneRow(state: State, row: ZoneRow, version: string, now: number): Effect[] {
  const { ownership } = state;
  const epoch = ownership.row?.epoch ?? 0;
  if (row.epoch === epoch && version !== '') ownership.rowVersion = version;
  if (row.epoch <= epoch) return [];
  addZoneRow(ownership, row, version, now);
  captureHandovers(state, now);
  // Another host may have owned an engine under a row that was missed.
  if (epoch > 0 && row.epoch > epoch + 1) ownership.acquiredEngines.clear();
  const members = new Set(row.members.map(getMemberKey));
  for (const key of ownership.acknowledgedEpochs.keys()) {
    if (!members.has(key)) ownership.acknowledgedEpochs.delete(key);
  }
  return [
    newLog('info', 'zone row changed', { epoch: row.epoch, members: row.members.length }),
    ...updateOwnership(state, now),
    ...sendHandovers(state, now),
    ...announceReleasedEpoch(state, now),
  ];
}

/** Brings the owned engines in line with the rows, acknowledgements and handovers known. */
export function updateOwnership(state: State, now: number): Effect[] {
  const { ownership } = state;
  const before = new Set(ownership.acquiredEngines.keys());
  updateAcquiredEngines(state);
  const effects = refreshOwnedEngines(state, now);
  for (const engine of ownership.acquiredEngines.keys()) {
    const handover = ownership.receivedHandovers.get(engine);
    if (!before.has(engine) && handover !== undefined) installHandover(state, handover, now);
  }
  return effects;
}

/** Tells the zone up to which epoch this host has given up what it lost. */
export function announceReleasedEpoch(state: State, now: number): Effect[] {
  const epoch = updateReleasedEpoch(state, now);
  const { incarnation } = state.host;
  return getZonePeers(state).map((to) =>
    deliver(state, to, { type: 'epochSeen', incarnation, epoch }),
  );
}

/** Returns the epoch that others may count as acknowledged; it waits for unload orders in flight. */
export function updateReleasedEpoch({ ownership }: State, now: number): number {
  if (ownership.unloadsInFlightUntil <= now) ownership.releasedEpoch = ownership.row?.epoch ?? 0;
  return ownership.releasedEpoch;
}

/** Tells the hosts of the zone, and the relays of the others, of a row that this host wrote. */
export function announceZoneRow(state: State): Effect[] {
  const peers = [...getZonePeers(state), ...getPeersInOtherZones(state)];
  return peers.map((to) => deliver(state, to, newZoneRowAnnouncement(state)));
}

/** Tells a host of all known rows; one that started during an outage has no other source. */
export function announceZoneRowsTo(state: State, to: string): Effect[] {
  const { mode, row, otherZoneRows: foreign } = state.ownership;
  if (mode === 'standalone') return [];
  const own = row === undefined ? [] : [newZoneRowAnnouncement(state)];
  const others = [...foreign].map(([zone, known]): ZoneRowSeen => ({
    type: 'zoneRowSeen',
    zone,
    rows: [known.row],
  }));
  return [...own, ...others].map((message) => deliver(state, to, message));
}

/** Takes over rows that a message told of, and passes them on across the border of the zone. */
export function receiveZoneRows(
  state: State,
  heard: ZoneRowSeen,
  from: string,
  now: number,
): Effect[] {
  const { ownership, host, membership } = state;
  const newest = heard.rows.at(-1);
  if (ownership.mode === 'standalone' || newest === undefined) return [];
  const isOwnZone = heard.zone === host.zone;
  const known = isOwnZone ? ownership.row : ownership.otherZoneRows.get(heard.zone)?.row;
  const effects: Effect[] = [];
  if ((known?.epoch ?? 0) < newest.epoch) {
    const isFromZone = membership.hosts.get(from)?.zone === host.zone;
    const isRelay = getRelays(state, host.zone).includes(host.id);
    if (isRelay && isOwnZone === isFromZone) {
      const peers = isFromZone ? getPeersInOtherZones(state) : getZonePeers(state);
      effects.push(...peers.map((to) => deliver(state, to, heard)));
    }
    if (!isOwnZone) ownership.otherZoneRows.set(heard.zone, newKnownZoneRow(newest, now));
    else for (const row of heard.rows) effects.push(...adoptZoneRow(state, row, '', now));
  }
  if (!isOwnZone) return effects;
  if ((known?.epoch ?? 0) > newest.epoch)
    effects.push(deliver(state, from, newZoneRowAnnouncement(state)));
  const epoch = updateReleasedEpoch(state, now);
  const { incarnation } = host;
  return [...effects, deliver(state, from, { type: 'epochSeen', incarnation, epoch })];
}
