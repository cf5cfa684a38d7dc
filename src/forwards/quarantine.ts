import type { State } from '../core/state.ts';
import { MAX_BROKEN_FORWARD_ATTEMPTS, BROKEN_FORWARD_ATTEMPT_TTL_MS } from './constants.ts';

/** Notes that an attempt broke off. */
export function recordBrokenForwardAttempt(state: State, fingerprint: string, now: number): void {
  const { brokenAttempts: crashes } = state.forwards;
  const known = crashes.get(fingerprint);
  const isOld = known === undefined || known.at + BROKEN_FORWARD_ATTEMPT_TTL_MS < now;
  crashes.delete(fingerprint);
  crashes.set(fingerprint, { count: (isOld ? 0 : known.count) + 1, at: now });
  for (const [oldest, { at }] of crashes) {
    if (at + BROKEN_FORWARD_ATTEMPT_TTL_MS >= now) break;
    crashes.delete(oldest);
  }
}

/** Forgets the breaks of a request that was answered. */
export function clearBrokenForwardAttempts({ forwards }: State, fingerprint: string): void {
  forwards.brokenAttempts.delete(fingerprint);
}

/** Whether a request broke off so often that it probably crashes them. */
export function isForwardQuarantined(
  { forwards }: State,
  fingerprint: string,
  now: number,
): boolean {
  const known = forwards.brokenAttempts.get(fingerprint);
  if (known === undefined || known.at + BROKEN_FORWARD_ATTEMPT_TTL_MS < now) return false;
  return known.count > MAX_BROKEN_FORWARD_ATTEMPTS;
}
