import { getRendezvousChoice } from '../base/hash.ts';
import type { Member, MembersRow, Owner, Owners } from './types.ts';

/** Returns the owner of an engine under the current members row. */
export function getOwner(owners: Owners, engine: string, zone: string): Owner | undefined {
  const { row, ownerByEngine } = owners;
  if (row === undefined) return undefined;
  if (ownerByEngine.has(engine)) return ownerByEngine.get(engine);
  const host = getMembersRowOwner(row, engine, zone);
  const owner = host === undefined ? undefined : { host, epoch: row.epoch };
  ownerByEngine.set(engine, owner);
  return owner;
}

/**
 * Returns the host that owns an engine under `row`: an owner in its availability zone, so that an
 * isolated zone continues to manage its engines, or any owner if the zone has none. An engine that its
 * owner can't reach is owned by another one.
 */
export function getMembersRowOwner(
  row: MembersRow,
  engine: string,
  zone: string,
): string | undefined {
  const owner = chooseOwner(row.members, engine, zone);
  if (owner === undefined || !isUnreachableFor(owner, engine)) return owner?.host;
  const reaching = row.members.filter((member) => !isUnreachableFor(member, engine));
  // Standby hosts come last: those of a zone that is cut off as a whole would take over one after the other.
  const successor = chooseOwner(reaching, engine, zone) ?? chooseMember(reaching, engine) ?? owner;
  return successor.host;
}

function chooseOwner(members: readonly Member[], engine: string, zone: string): Member | undefined {
  const owners = members.filter(({ isOwner }) => isOwner);
  const zoneOwners = owners.filter((member) => member.zone === zone);
  return chooseMember(zoneOwners.length === 0 ? owners : zoneOwners, engine);
}

function chooseMember(members: readonly Member[], engine: string): Member | undefined {
  const choice = getRendezvousChoice(
    engine,
    members.map(({ host }) => host),
  );
  return members.find(({ host }) => host === choice);
}

/** Whether a member can't order an engine. */
export function isUnreachableFor({ unreachable, isCutOff }: Member, engine: string): boolean {
  return isCutOff === true || unreachable?.includes(engine) === true;
}

/** Returns the number of hosts that share a deployment-wide limit; at least 1. */
export function countLimitSharers({ row }: Owners): number {
  return Math.max(1, row?.members.length ?? 1);
}

/**
 * Returns the highest number of hosts that shared a deployment-wide limit in the last `windowMs`. A
 * host that left the row may have used its part within that time.
 */
export function countRecentLimitSharers(owners: Owners, windowMs: number, now: number): number {
  const recent = owners.formerRows.filter(({ replacedAt }) => replacedAt + windowMs > now);
  return Math.max(countLimitSharers(owners), ...recent.map(({ size }) => size));
}

/** Records the size of the row that is being replaced. */
export function recordFormerRow(owners: Owners, now: number): void {
  const size = owners.row?.members.length ?? 0;
  // A smaller row that was replaced earlier never decides the highest number.
  const larger = owners.formerRows.filter((former) => former.size > size);
  owners.formerRows = [...larger, { size, replacedAt: now }];
}

/** Whether `host` has links to at least half of the other members. */
export function isLinkedToMostMembers({ row, linkedHosts }: Owners, host: string): boolean {
  const others = row?.members.filter((member) => member.host !== host) ?? [];
  const linked = others.filter((member) => linkedHosts.has(member.host));
  return 2 * linked.length >= others.length;
}

/** Returns the entry of `host`, or undefined if it is not a member. */
export function getMember({ row }: Owners, host: string): Member | undefined {
  return row?.members.find((member) => member.host === host);
}

/**
 * Returns the member that is the first to take over work for others: of those with the most processor capacity, the
 * one that rendezvous hashing chooses. Undefined without members.
 */
export function chooseCapableMember(key: string, members: readonly Member[]): string | undefined {
  const most = Math.max(...members.map(getCapacity));
  const capable = members.filter((member) => getCapacity(member) === most);
  return getRendezvousChoice(
    key,
    capable.map(({ host }) => host),
  );
}

/** Returns the processor capacity of a member, of which those that do not state it have the least. */
function getCapacity({ capacity = 0 }: Member): number {
  return capacity;
}

/** Returns the members, with one promoted to owner in each zone without an owner. */
export function ensureOwners(members: readonly Member[]): Member[] {
  const zones = new Set(members.map(({ zone }) => zone));
  const promoted = new Set<string>();
  for (const zone of zones) {
    const zoneMembers = members.filter((member) => member.zone === zone);
    if (zoneMembers.some(({ isOwner }) => isOwner)) continue;
    const choice = chooseCapableMember(zone, zoneMembers);
    if (choice !== undefined) promoted.add(choice);
  }
  return members.map((member) =>
    promoted.has(member.host) ? { ...member, isOwner: true } : member,
  );
}
