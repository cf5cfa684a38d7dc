import { createHash } from 'node:crypto';

/** Returns an unsigned 32-bit hash of `text` that is the same on all hosts and in all versions. */
export function hash32(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}

/** Returns the SHA-256 digest of `text` in lower-case hexadecimal. */
export function sha256(text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Returns the member with the highest rendezvous weight for `key`, or undefined when `members` is
 * empty.
 */
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
