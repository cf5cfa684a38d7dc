import type { Route } from '../routes/types.ts';
import type { Forward } from './types.ts';

/** Whether the route allows a request that broke off to be sent again, or its stream to be resumed. */
export function isRepeatable({ kind, isResumable }: Route): boolean {
  return kind === 'safe' || (kind === 'stream' && isResumable);
}

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
  const isLost = route.kind === 'safe' && hasResponseStarted;
  return isRepeatable(route) && !isLost && ranOn.size + 1 < route.attempts;
}
