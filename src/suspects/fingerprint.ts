import { sha256 } from '../base/hash.ts';

/** Returns the fingerprint of a request: a hash of `adapter@version` and the body hash. */
export function getFingerprint(model: string, bodyHash: string): string {
  return sha256(`${model}\n${bodyHash}`);
}
