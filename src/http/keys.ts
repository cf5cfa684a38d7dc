import { createHash, timingSafeEqual } from 'node:crypto';
import { z } from 'zod';
import { Name } from '../configuration/types.ts';

/** One key, kept as its hash. */
export const Key = z.strictObject({
  name: Name,
  firm: Name,
  role: z.enum(['caller', 'operator']),
  /** SHA-256 of the key in lower-case hex. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/),
});
export type Key = z.infer<typeof Key>;

/**
 * Returns the key of `role` that an `Authorization: Bearer` header carries, or undefined. Compares
 * with every key in constant time, so that the time taken does not tell how much of a key matched.
 */
export function findKey(
  keys: readonly Key[],
  authorization: string | undefined,
  role: Key['role'],
): Key | undefined {
  const secret = /^Bearer (\S+)$/i.exec(authorization ?? '')?.[1];
  if (secret === undefined) return undefined;
  const digest = createHash('sha256').update(secret).digest();
  let found: Key | undefined;
  for (const key of keys) {
    const isEqual = timingSafeEqual(digest, Buffer.from(key.sha256, 'hex'));
    if (isEqual && key.role === role) found = key;
  }
  return found;
}
