import { createHash, timingSafeEqual } from 'node:crypto';
import type { AccessKey } from '../settings/accessKeys.ts';

/**
 * Returns the key of `role` that matches an `Authorization: Bearer` header, or undefined. Compares
 * with every key in constant time, so that the duration does not reveal how much of a key matched.
 */
export function findAccessKey(
  keys: readonly AccessKey[],
  authorization: string | undefined,
  role: AccessKey['role'],
): AccessKey | undefined {
  const secret = /^Bearer (\S+)$/i.exec(authorization ?? '')?.[1];
  if (secret === undefined) return undefined;
  const digest = createHash('sha256').update(secret).digest();
  let found: AccessKey | undefined;
  for (const key of keys) {
    const isEqual = timingSafeEqual(digest, Buffer.from(key.sha256, 'hex'));
    if (isEqual && key.role === role) found = key;
  }
  return found;
}
