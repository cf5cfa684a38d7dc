import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EndpointView } from '../fleet/types.ts';
import { BRITTLE_QUEUE_SHARE, BRITTLE_RECOVERY_MS } from './constants.ts';
import type { BrittleEndpoint, Brittleness, NamedBrittleness } from './types.ts';

/**
 * Applies what an answer to a request from `sentAt` says of the brittleness of its endpoint. Returns the
 * log line of a change, and none otherwise.
 */
export function applyBrittleness(
  state: State,
  view: EndpointView,
  named: NamedBrittleness,
  sentAt: number,
  now: number,
): Effect[] {
  if (named.type === 'brittle') return recordBrittle(state, view, undefined, now);
  const { brittleness } = view;
  if (named.type === 'malformed' || brittleness === undefined || sentAt <= brittleness.learnedAt)
    return [];
  view.brittleness = undefined;
  schedule(state, now, { type: 'servePermits', endpoint: view.endpoint.id });
  return [newBrittlenessLog(view, undefined)];
}

/** Records that an endpoint is brittle; `from` is the host that told it, undefined if an answer did. */
export function recordBrittle(
  state: State,
  view: EndpointView,
  from: string | undefined,
  now: number,
): Effect[] {
  if (view.brittleness !== undefined) return [];
  view.brittleness = {
    learnedAt: now,
    maxInFlight: getHighestInFlight(view),
    changedAt: now,
    nextPermitAt: -Infinity,
  };
  return [newBrittlenessLog(view, from)];
}

/** Lets fewer requests under way to a brittle endpoint that turned one away for want of room. */
export function recordRefusal({ brittleness }: EndpointView, now: number): void {
  if (brittleness === undefined) return;
  brittleness.maxInFlight = Math.max(1, brittleness.maxInFlight - 1);
  brittleness.changedAt = now;
}

/** Returns the most requests that may be under way to a brittle endpoint; it grows while none is turned away. */
export function getMaxInFlight(view: EndpointView, brittleness: Brittleness, now: number): number {
  const steps = Math.floor((now - brittleness.changedAt) / BRITTLE_RECOVERY_MS);
  if (steps > 0) {
    const highest = getHighestInFlight(view);
    brittleness.maxInFlight = Math.min(highest, brittleness.maxInFlight + steps);
    brittleness.changedAt += steps * BRITTLE_RECOVERY_MS;
  }
  return brittleness.maxInFlight;
}

/** Returns what other hosts have to know of a brittle endpoint; undefined if it is none. */
export function getBrittleEndpoint({
  endpoint,
  brittleness,
}: EndpointView): BrittleEndpoint | undefined {
  if (brittleness === undefined) return undefined;
  return { endpoint: endpoint.id, startedAt: endpoint.startedAt };
}

/** Few requests may wait at the endpoint, as the room for those shrinks without notice. */
function getHighestInFlight({ endpoint }: EndpointView): number {
  return endpoint.slots + Math.floor(endpoint.slots * BRITTLE_QUEUE_SHARE);
}

function newBrittlenessLog(
  { endpoint, brittleness }: EndpointView,
  from: string | undefined,
): Effect {
  const { id, service } = endpoint;
  const isBrittle = brittleness !== undefined;
  return newLog('info', 'endpoint is brittle, or no more', {
    endpoint: id,
    service,
    isBrittle,
    maxInFlight: brittleness?.maxInFlight,
    from,
  });
}
