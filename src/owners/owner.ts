import { getRendezvousChoice } from '../base/hash.ts';
import type { Member, Owner, Owners } from './types.ts';

/**
 * Returns the owner of an engine: a member of its availability zone, so that a zone that is cut off
 * goes on deciding about its engines, or any member when the zone has none.
 */
export function getOwner(owners: Owners, engine: string, zone: string): Owner | undefined {
  const { row, byEngine } = owners;
  if (row === undefined) return undefined;
  if (byEngine.has(engine)) return byEngine.get(engine);
  const near = row.members.filter((member) => member.zone === zone);
  const candidates = near.length === 0 ? row.members : near;
  const host = getRendezvousChoice(
    engine,
    candidates.map((member) => member.host),
  );
  const owner = host === undefined ? undefined : { host, epoch: row.epoch };
  byEngine.set(engine, owner);
  return owner;
}

/** Returns the entry of `host`, or undefined when it is no member. */
export function getMember({ row }: Owners, host: string): Member | undefined {
  return row?.members.find((member) => member.host === host);
}
