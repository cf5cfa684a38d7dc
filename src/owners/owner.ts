import { getRendezvousChoice } from '../base/hash.ts';
import type { Member, MembersRow, Owner, Owners } from './types.ts';

/** Returns the owner of an engine by the row in force. */
export function getOwner(owners: Owners, engine: string, zone: string): Owner | undefined {
  const { row, ownerByEngine: byEngine } = owners;
  if (row === undefined) return undefined;
  if (byEngine.has(engine)) return byEngine.get(engine);
  const host = getMembersRowOwner(row, engine, zone);
  const owner = host === undefined ? undefined : { host, epoch: row.epoch };
  byEngine.set(engine, owner);
  return owner;
}

/**
 * Returns the host that owns an engine by `row`: an owner of its availability zone, so that a zone
 * that is cut off goes on deciding about its engines, or any owner when the zone has none.
 */
export function getMembersRowOwner(
  row: MembersRow,
  engine: string,
  zone: string,
): string | undefined {
  const all = row.members.filter(({ isOwner }) => isOwner);
  const near = all.filter((member) => member.zone === zone);
  const candidates = near.length === 0 ? all : near;
  return getRendezvousChoice(
    engine,
    candidates.map(({ host }) => host),
  );
}

/** Returns among how many hosts a limit of the whole deployment is shared. */
export function countLimitSharers({ row }: Owners): number {
  return Math.max(1, row?.members.length ?? 1);
}

/** Returns the entry of `host`, or undefined when it is no member. */
export function getMember({ row }: Owners, host: string): Member | undefined {
  return row?.members.find((member) => member.host === host);
}

/** Makes one member of each zone an owner where the zone has none. */
export function ensureOwners(members: readonly Member[]): Member[] {
  const zones = new Set(members.map(({ zone }) => zone));
  const promoted = new Set<string>();
  for (const zone of zones) {
    const near = members.filter((member) => member.zone === zone);
    if (near.some(({ isOwner }) => isOwner)) continue;
    const choice = getRendezvousChoice(
      zone,
      near.map(({ host }) => host),
    );
    if (choice !== undefined) promoted.add(choice);
  }
  return members.map((member) =>
    promoted.has(member.host) ? { ...member, isOwner: true } : member,
  );
}
