import { MAX_READ_DELAY_SHARE } from './constants.ts';

/**
 * Returns the time in ms that a caller which waits for `waitMs` still waits when its request is read, after
 * up to `readDelayMs` in which the request may have waited for that. The caller counts from its sending.
 */
export function getTimeLeftMs(waitMs: number, readDelayMs: number): number {
  return waitMs - Math.min(readDelayMs, MAX_READ_DELAY_SHARE * Math.max(0, waitMs));
}
