import {
  MAX_WAIT_MS,
  MAX_WAIT_SHARE,
  MIN_RETURN_MS,
  OVERLOAD_AFTER_MS,
  RETURN_SPREAD_MS,
} from './constants.ts';

/** Requests that wait for the host to take them. */
export interface Backlog {
  /** Monotonic ms since which requests have waited without a break; undefined while none waits. */
  since: number | undefined;
  /** Monotonic ms at which the request that is taken next began to wait. */
  firstQueuedAt: number | undefined;
}

/** Whether requests have arrived faster than the host takes them for some time. */
export function isOverloaded({ since }: Backlog, now: number): boolean {
  return since !== undefined && now - since >= OVERLOAD_AFTER_MS;
}

/**
 * Returns the longest wait after which an overloaded host still takes a request whose caller waits for
 * `callerWaitMs`, so that most of its time is left for its endpoint, or for its caller to try another host.
 */
export function getMaxWaitMs(callerWaitMs: number): number {
  return Math.min(MAX_WAIT_MS, MAX_WAIT_SHARE * callerWaitMs);
}

/**
 * Whether a request that arrives now would wait for too long, judged by the one that is taken next.
 * `getCallerWaitMs` returns the time for which its caller waits.
 */
export function isBacklogTooLong(
  backlog: Backlog,
  getCallerWaitMs: () => number,
  now: number,
): boolean {
  if (!isOverloaded(backlog, now) || backlog.firstQueuedAt === undefined) return false;
  return now - backlog.firstQueuedAt > getMaxWaitMs(getCallerWaitMs());
}

/** Returns the time in ms after which a rejected caller should return; `fraction` in [0, 1) spreads them. */
export function getReturnMs(fraction: number): number {
  return Math.round(MIN_RETURN_MS + RETURN_SPREAD_MS * fraction);
}
