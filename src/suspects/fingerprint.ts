import { sha256 } from '../base/hash.ts';

/** Returns the fingerprint of a request: adapter and version (`adapter@version`) and its body. */
export function getFingerprint(model: string, bodyHash: string): string {
  return sha256(`${model}\n${bodyHash}`);
}
