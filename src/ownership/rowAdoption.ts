import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { refreshOwnedEngines } from '../grants/owned.ts';
import { getPeersInOtherZones, getRelays, getZonePeers } from '../membership/hosts.ts';
import { captureHandovers, installHandover, sendHandovers } from './handover.ts';
import { getMemberKey, updateAcquiredEngines } from './acquiredEngines.ts';
import { addZoneRow, newKnownZoneRow, newZoneRowAnnouncement } from './rows.ts';
import type { ZoneRow, ZoneRowSeen } from './types.ts';

/** Adopts a row of this zone if its epoch is higher. `version` is empty for a row from a message. */
export function adoptZoneRow(state: State, row: ZoneRow, version: string, now: number): Effect[] {
  const { ownership } = state;
  const epoch = ownership.row?.epoch ?? 0;
  if (row.epoch === epoch && version !== '') ownership.rowVersion = version;
  if (row.epoch <= epoch) return [];
  addZoneRow(ownership, row, version, now);
  captureHandovers(state, now);
  // Another host may have owned the engines at an epoch that this host missed.
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

/** Updates the acquired engines from the known rows and acknowledgements; installs handovers. */
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

/** Announces to the zone the epoch up to which this host has released the engines it lost. */
export function announceReleasedEpoch(state: State, now: number): Effect[] {
  const epoch = updateReleasedEpoch(state, now);
  const { incarnation } = state.host;
  return getZonePeers(state).map((to) =>
    sendMessage(state, to, { type: 'epochSeen', incarnation, epoch }),
  );
}

/** Updates and returns the released epoch; it does not advance while unload orders are in flight. */
export function updateReleasedEpoch({ ownership }: State, now: number): number {
  if (ownership.unloadsInFlightUntil <= now) ownership.releasedEpoch = ownership.row?.epoch ?? 0;
  return ownership.releasedEpoch;
}

/** Announces the row of this zone to the hosts of the zone and to peers in other zones. */
export function announceZoneRow(state: State): Effect[] {
  const peers = [...getZonePeers(state), ...getPeersInOtherZones(state)];
  return peers.map((to) => sendMessage(state, to, newZoneRowAnnouncement(state)));
}

/** Sends all known rows to a host, which cannot read them if it started during a table outage. */
export function announceZoneRowsTo(state: State, to: string): Effect[] {
  const { mode, row, otherZoneRows } = state.ownership;
  if (mode === 'standalone') return [];
  const own = row === undefined ? [] : [newZoneRowAnnouncement(state)];
  const others = [...otherZoneRows].map(([zone, known]): ZoneRowSeen => ({
    type: 'zoneRowSeen',
    zone,
    rows: [known.row],
  }));
  return [...own, ...others].map((message) => sendMessage(state, to, message));
}

/** Adopts announced zone rows; a relay forwards them between its zone and other zones. */
export function receiveZoneRows(
  state: State,
  announcement: ZoneRowSeen,
  from: string,
  now: number,
): Effect[] {
  const { ownership, host, membership } = state;
  const newest = announcement.rows.at(-1);
  if (ownership.mode === 'standalone' || newest === undefined) return [];
  const isOwnZone = announcement.zone === host.zone;
  const known = isOwnZone ? ownership.row : ownership.otherZoneRows.get(announcement.zone)?.row;
  const effects: Effect[] = [];
  if ((known?.epoch ?? 0) < newest.epoch) {
    const isFromZone = membership.hosts.get(from)?.zone === host.zone;
    const isRelay = getRelays(state, host.zone).includes(host.id);
    if (isRelay && isOwnZone === isFromZone) {
      const peers = isFromZone ? getPeersInOtherZones(state) : getZonePeers(state);
      effects.push(...peers.map((to) => sendMessage(state, to, announcement)));
    }
    if (!isOwnZone) ownership.otherZoneRows.set(announcement.zone, newKnownZoneRow(newest, now));
    else for (const row of announcement.rows) effects.push(...adoptZoneRow(state, row, '', now));
  }
  if (!isOwnZone) return effects;
  if ((known?.epoch ?? 0) > newest.epoch)
    effects.push(sendMessage(state, from, newZoneRowAnnouncement(state)));
  const epoch = updateReleasedEpoch(state, now);
  const { incarnation } = host;
  return [...effects, sendMessage(state, from, { type: 'epochSeen', incarnation, epoch })];
}
