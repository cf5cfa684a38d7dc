import { getRendezvousChoice } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import { HISTORY_ROWS, TOLD_ROWS } from './constants.ts';
import type { KnownRow, Member, Ownership, ZoneRow, ZoneRowSeen } from './types.ts';

/** Returns the key of the row of `zone`. */
export function getZoneKey(zone: string): string {
  return `zone/${zone}`;
}

/** Returns the key of the lease of a host. */
export function getLeaseKey(zone: string, host: string): string {
  return `host/${zone}/${host}`;
}

/** Whether two members are the same process. */
export function isSame(a: Member | null | undefined, b: Member | null | undefined): boolean {
  return a?.host === b?.host && a?.incarnation === b?.incarnation;
}

/** Returns this host as a member. */
export function getSelf(state: State): Member {
  return { host: state.host.id, incarnation: state.host.incarnation };
}

/** Whether the last known row names this process. */
export function isMember(state: State): boolean {
  const self = getSelf(state);
  return state.ownership.row?.members.some((member) => isSame(member, self)) ?? false;
}

/** Returns a row together with an empty cache of owners. */
export function newKnownRow(row: ZoneRow, now: number): KnownRow {
  return { row, seenAt: now, owners: new Map() };
}

/** Returns the member that owns `engine` under `known`. */
export function getRowOwner(known: KnownRow, engine: string): Member | undefined {
  if (known.owners.has(engine)) return known.owners.get(engine);
  const { members } = known.row;
  const hosts = members.map(({ host }) => host);
  const choice = getRendezvousChoice(engine, hosts);
  const owner = members.find(({ host }) => host === choice);
  known.owners.set(engine, owner);
  return owner;
}

/** Returns the last known row of this zone. */
export function getCurrent(ownership: Ownership): KnownRow | undefined {
  return ownership.history.at(-1);
}

/** Returns the message that tells of the last known rows of this zone. */
export function newRowMessage({ ownership, host }: State): ZoneRowSeen {
  const rows = ownership.history.slice(-TOLD_ROWS).map(({ row }) => row);
  return { type: 'zoneRowSeen', zone: host.zone, rows };
}

/** Returns the known row with `epoch`. */
export function getRowAt(ownership: Ownership, epoch: number): KnownRow | undefined {
  return ownership.history.find(({ row }) => row.epoch === epoch);
}

/** Adds a row with a higher epoch to the history. */
export function addRow(ownership: Ownership, row: ZoneRow, version: string, now: number): void {
  ownership.row = row;
  ownership.rowVersion = version;
  ownership.changedAt = now;
  ownership.history.push(newKnownRow(row, now));
  if (ownership.history.length > HISTORY_ROWS) ownership.history.shift();
  if (ownership.unsettled !== undefined && ownership.unsettled.epoch <= row.epoch) {
    ownership.unsettled = undefined;
  }
}
