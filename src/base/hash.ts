import { createHash } from 'node:crypto';

/** Returns a 32-bit unsigned hash of `text`; stable across hosts and versions. */
export function hash32(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}

/** Returns the SHA-256 of `text` in lower-case hex. */
export function sha256(text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Returns the member of `members` with the highest rendezvous weight for `key`, or undefined when there is none. */
export function getRendezvousChoice(key: string, members: readonly string[]): string | undefined {
  return getRendezvousOrder(key, members)[0];
}

/** Returns `members` ordered by rendezvous weight for `key`, highest first. */
export function getRendezvousOrder(key: string, members: readonly string[]): string[] {
  return members
    .map((member) => ({ member, weight: hash32(`${key}/${member}`) }))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .map(({ member }) => member);
}
