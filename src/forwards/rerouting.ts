import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { releaseForwardReservation } from './forwardEnd.ts';
import { placeForward } from './forwardPlacement.ts';
import type { Forward } from './types.ts';

type PendingReservation = NonNullable<Forward['pendingReservation']>;

/** Places requests again that wait for a reservation from an owner that became unreachable. */
export function rerouteFromOwner(state: State, owner: string, now: number): Effect[] {
  const reason = 'the owner of the engine is unreachable';
  return rerouteWaiting(state, (reservation) => reservation.owner === owner, reason, now);
}

/** Places requests again that wait for a reservation on an engine that takes no more requests. */
export function rerouteFromEngine(
  state: State,
  engine: string,
  reason: string,
  now: number,
): Effect[] {
  return rerouteWaiting(state, (reservation) => reservation.engine === engine, reason, now);
}

function rerouteWaiting(
  state: State,
  isAffected: (reservation: PendingReservation) => boolean,
  reason: string,
  now: number,
): Effect[] {
  return [...state.forwards.inFlight.values()]
    .filter(
      ({ phase, pendingReservation: reservation }) =>
        phase === 'awaitingOwner' && reservation !== undefined && isAffected(reservation),
    )
    .flatMap((forward) => {
      const withdrawn = releaseForwardReservation(state, forward);
      forward.lastReason = reason;
      return [...withdrawn, ...placeForward(state, forward, now)];
    });
}
