import { getRendezvousChoice } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import { MAX_HISTORY_ROWS, MAX_ANNOUNCED_ROWS } from './constants.ts';
import type { KnownZoneRow, ZoneMember, Ownership, ZoneRow, ZoneRowSeen } from './types.ts';

/** Returns the table key of the row of `zone`. */
export function getZoneRowKey(zone: string): string {
  return `zone/${zone}`;
}

/** Returns the table key of the lease of a host. */
export function getLeaseKey(zone: string, host: string): string {
  return `host/${zone}/${host}`;
}

/** Whether two members are the same incarnation of the same host. */
export function isSameMember(
  a: ZoneMember | null | undefined,
  b: ZoneMember | null | undefined,
): boolean {
  return a?.host === b?.host && a?.incarnation === b?.incarnation;
}

/** Returns this host as a member. */
export function getSelfMember(state: State): ZoneMember {
  return { host: state.host.id, incarnation: state.host.incarnation };
}

/** Whether the last known row lists this incarnation of this host. */
export function isMember(state: State): boolean {
  const self = getSelfMember(state);
  return state.ownership.row?.members.some((member) => isSameMember(member, self)) ?? false;
}

/** Returns a row with an empty owner cache. */
export function newKnownZoneRow(row: ZoneRow, now: number): KnownZoneRow {
  return { row, seenAt: now, owners: new Map() };
}

/** Returns the member that owns `engine` under `known`. */
export function getZoneRowOwner(known: KnownZoneRow, engine: string): ZoneMember | undefined {
  if (known.owners.has(engine)) return known.owners.get(engine);
  const { members } = known.row;
  const hosts = members.map(({ host }) => host);
  const choice = getRendezvousChoice(engine, hosts);
  const owner = members.find(({ host }) => host === choice);
  known.owners.set(engine, owner);
  return owner;
}

/** Returns the last known row of this zone. */
export function getCurrentZoneRow(ownership: Ownership): KnownZoneRow | undefined {
  return ownership.history.at(-1);
}

/** Returns the message that announces the last known rows of this zone. */
export function newZoneRowAnnouncement({ ownership, host }: State): ZoneRowSeen {
  const rows = ownership.history.slice(-MAX_ANNOUNCED_ROWS).map(({ row }) => row);
  return { type: 'zoneRowSeen', zone: host.zone, rows };
}

/** Returns the row with `epoch`, or undefined if the history does not contain it. */
export function getZoneRowAtEpoch(ownership: Ownership, epoch: number): KnownZoneRow | undefined {
  return ownership.history.find(({ row }) => row.epoch === epoch);
}

/** Adds a row with a higher epoch to the history; ends a pending write that it settles. */
export function addZoneRow(ownership: Ownership, row: ZoneRow, version: string, now: number): void {
  ownership.row = row;
  ownership.rowVersion = version;
  ownership.changedAt = now;
  ownership.history.push(newKnownZoneRow(row, now));
  if (ownership.history.length > MAX_HISTORY_ROWS) ownership.history.shift();
  if (ownership.pendingWrite !== undefined && ownership.pendingWrite.epoch <= row.epoch) {
    ownership.pendingWrite = undefined;
  }
}
