import { MAX_PAUSE_AFTER_TRIAL_MS, MAX_PAUSE_MS } from './constants.ts';
import type { EndpointPause } from './types.ts';

/** An endpoint, or an engine of an entry host, that may ask for a time without requests. */
interface PausableEndpoint {
  pause: EndpointPause | undefined;
}

/** Whether an endpoint wants no request of this host now. */
export function isPaused({ pause }: PausableEndpoint, now: number): boolean {
  return pause !== undefined && pause.until > now;
}

/** Whether an endpoint asked for a pause after `sentAt`, so that a request from then must not be sent. */
export function isPausedSince({ pause }: PausableEndpoint, sentAt: number, now: number): boolean {
  return pause !== undefined && pause.learnedAt > sentAt && pause.until > now;
}

/** Returns the time until an endpoint may get a request of this host again, in ms. */
export function getPauseLeftMs({ pause }: PausableEndpoint, now: number): number {
  return Math.max(0, (pause?.until ?? now) - now);
}

/** Returns the time until the first of paused endpoints may get a request again, in ms; undefined without one. */
export function getShortestPauseMs(
  paused: readonly PausableEndpoint[],
  now: number,
): number | undefined {
  if (paused.length === 0) return undefined;
  return Math.min(...paused.map((endpoint) => getPauseLeftMs(endpoint, now)));
}

/**
 * Starts or extends the pause of an endpoint that turned a request from `sentAt` away for `askedMs`.
 * Requests that were under way together may be told different times, of which the longest holds. Returns
 * whether a new pause began.
 */
export function startPause(
  endpoint: PausableEndpoint,
  askedMs: number,
  sentAt: number,
  now: number,
): boolean {
  const { pause: known } = endpoint;
  const askedUntil = now + askedMs;
  const isUnderWayTogether = known !== undefined && sentAt <= known.learnedAt;
  if (isUnderWayTogether) {
    known.until = Math.max(known.until, now + Math.min(askedMs, MAX_PAUSE_MS));
    known.askedUntil = Math.max(known.askedUntil, askedUntil);
    return false;
  }
  const wasTrial = known !== undefined && sentAt < known.askedUntil;
  const longestMs = wasTrial ? MAX_PAUSE_AFTER_TRIAL_MS : MAX_PAUSE_MS;
  const until = now + Math.min(askedMs, longestMs);
  endpoint.pause = { learnedAt: now, until, askedUntil };
  return askedMs > 0;
}

/** Ends the pause of an endpoint that served a request which was sent after it had asked for the pause. */
export function endPause(endpoint: PausableEndpoint, sentAt: number): boolean {
  const { pause } = endpoint;
  if (pause === undefined || sentAt <= pause.learnedAt) return false;
  endpoint.pause = undefined;
  return true;
}

/**
 * Records that a request is sent to an endpoint. Within the time that the endpoint asked for it is a
 * trial, and the only one.
 */
export function recordSend({ pause }: PausableEndpoint, now: number): void {
  if (pause === undefined || pause.askedUntil <= now) return;
  pause.until = Math.min(pause.askedUntil, now + MAX_PAUSE_AFTER_TRIAL_MS);
}
