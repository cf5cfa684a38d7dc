import type { State } from '../core/state.ts';
import { MAX_BROKEN_FORWARD_ATTEMPTS, BROKEN_FORWARD_ATTEMPT_TTL_MS } from './constants.ts';

/** Counts an attempt that was sent and got no complete response. */
export function recordBrokenForwardAttempt(state: State, fingerprint: string, now: number): void {
  const { brokenAttempts } = state.forwards;
  const known = brokenAttempts.get(fingerprint);
  const isExpired = known === undefined || known.at + BROKEN_FORWARD_ATTEMPT_TTL_MS < now;
  brokenAttempts.delete(fingerprint);
  brokenAttempts.set(fingerprint, { count: (isExpired ? 0 : known.count) + 1, at: now });
  for (const [oldest, { at }] of brokenAttempts) {
    if (at + BROKEN_FORWARD_ATTEMPT_TTL_MS >= now) break;
    brokenAttempts.delete(oldest);
  }
}

/** Clears the broken attempts of a fingerprint after one of its requests was answered. */
export function clearBrokenForwardAttempts({ forwards }: State, fingerprint: string): void {
  forwards.brokenAttempts.delete(fingerprint);
}

/**
 * Whether the attempts of a fingerprint broke so often that its requests probably crash endpoints.
 */
export function isForwardQuarantined(
  { forwards }: State,
  fingerprint: string,
  now: number,
): boolean {
  const known = forwards.brokenAttempts.get(fingerprint);
  if (known === undefined || known.at + BROKEN_FORWARD_ATTEMPT_TTL_MS < now) return false;
  return known.count > MAX_BROKEN_FORWARD_ATTEMPTS;
}
