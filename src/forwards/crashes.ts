import type { State } from '../core/state.ts';
import { CRASH_LIMIT, CRASH_MEMORY_MS } from './constants.ts';

/** Notes that an attempt broke off. */
export function noteBreak(state: State, fingerprint: string, now: number): void {
  const { crashes } = state.forwards;
  const known = crashes.get(fingerprint);
  const isOld = known === undefined || known.at + CRASH_MEMORY_MS < now;
  crashes.delete(fingerprint);
  crashes.set(fingerprint, { count: (isOld ? 0 : known.count) + 1, at: now });
  for (const [oldest, { at }] of crashes) {
    if (at + CRASH_MEMORY_MS >= now) break;
    crashes.delete(oldest);
  }
}

/** Forgets the breaks of a request that was answered. */
export function clearBreaks({ forwards }: State, fingerprint: string): void {
  forwards.crashes.delete(fingerprint);
}

/** Whether a request broke off so often that it probably crashes them. */
export function isCrasher({ forwards }: State, fingerprint: string, now: number): boolean {
  const known = forwards.crashes.get(fingerprint);
  if (known === undefined || known.at + CRASH_MEMORY_MS < now) return false;
  return known.count > CRASH_LIMIT;
}
