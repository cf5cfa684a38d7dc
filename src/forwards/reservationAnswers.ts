import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { isAvailable } from '../fleet/endpointChoice.ts';
import type { ReservationGranted } from '../residency/types.ts';
import { beginsResumableStream, mayRunAt } from './endpointCandidates.ts';
import { releaseForwardReservation } from './forwardEnd.ts';
import { placeForward } from './forwardPlacement.ts';
import { scheduleRetry, sendAttempt } from './sending.ts';
import type { Forward } from './types.ts';

/** Sends a request under a reservation that its owner granted; returns one that is not needed. */
export function acceptReservation(
  state: State,
  grant: ReservationGranted,
  from: string,
  now: number,
): Effect[] {
  const { request, engine, version, startedAt, stallMs } = grant;
  const forward = state.forwards.inFlight.get(request);
  if (forward === undefined || !isWaitingFor(forward, grant)) {
    // A release would also end the reservation under which the request runs on this engine.
    if (forward?.attempt?.endpoint === engine) return [];
    return [sendMessage(state, from, { type: 'placeReleased', request, engine, result: 'ended' })];
  }
  // The owner may have found another engine that serves it earlier.
  if (forward.pendingReservation !== undefined) forward.pendingReservation.engine = engine;
  const view = state.fleet.views.get(engine);
  forward.stallMs += stallMs;
  if (view === undefined || !isAvailable(view, now) || !mayRunAt(state, forward, view, now))
    return [...releaseForwardReservation(state, forward), ...placeForward(state, forward, now)];
  // Otherwise one of the two hosts has not learned yet that the engine restarted.
  const isSameStart = startedAt === undefined || startedAt === view.endpoint.startedAt;
  if (!isSameStart && (forward.origin !== undefined || beginsResumableStream(forward))) {
    const released = releaseForwardReservation(state, forward);
    const reason = 'the software version of the engine is unknown after its restart';
    return [...released, ...scheduleRetry(state, forward, reason, now)];
  }
  const effects = sendAttempt(state, forward, view, from, version, now);
  if (!isSameStart && forward.attempt !== undefined) forward.attempt.softwareVersion = undefined;
  return effects;
}

/** Whether a request waits for this answer to its last reservation request. */
function isWaitingFor(
  { phase, reservationRequestNumber, pendingReservation, origin }: Forward,
  { ask, engine }: ReservationGranted,
): boolean {
  if (phase !== 'awaitingOwner' || reservationRequestNumber !== ask) return false;
  return pendingReservation?.engine === engine || origin === undefined;
}
