import type { Forward } from './types.ts';

/** Whether the route allows a request of this kind to run more than once. */
export function isRetryAllowed({ route, hasResponseStarted, lastEventId }: Forward): boolean {
  if (route.kind === 'safe') return !hasResponseStarted;
  // A stream can only be resumed after an event that has an id.
  const isResumable = !hasResponseStarted || lastEventId !== undefined;
  return route.kind === 'stream' && route.isResumable && isResumable;
}

export function hasAttemptsLeft({ ranOn, route }: Forward): boolean {
  return ranOn.size < route.attempts;
}

/** Whether a request whose attempt is broken off now may be sent to another endpoint. */
export function mayRunAgain(forward: Forward): boolean {
  const { route, ranOn, hasResponseStarted } = forward;
  // The id of the last event is known once the attempt has ended.
  const isStream = route.kind === 'stream' && route.isResumable;
  const isRepeatable = isStream || (route.kind === 'safe' && !hasResponseStarted);
  return isRepeatable && ranOn.size + 1 < route.attempts;
}
