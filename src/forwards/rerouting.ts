import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { placeForward } from './forwardPlacement.ts';
import type { Forward } from './types.ts';

type Asked = NonNullable<Forward['pendingReservation']>;

/** Places the requests anew that wait for an owner which cannot be heard any more. */
export function rerouteFromOwner(state: State, owner: string, now: number): Effect[] {
  const reason = 'the owner of the engine cannot be heard';
  return moveAsked(state, (asked) => asked.owner === owner, reason, now);
}

/** Places the requests anew that wait for a place on an engine that is gone. */
export function rerouteFromEngine(state: State, engine: string, now: number): Effect[] {
  return moveAsked(state, (asked) => asked.engine === engine, 'the engine is gone', now);
}

function moveAsked(
  state: State,
  isMoved: (asked: Asked) => boolean,
  reason: string,
  now: number,
): Effect[] {
  return [...state.forwards.inFlight.values()]
    .filter(
      ({ phase, pendingReservation: asked }) =>
        phase === 'awaitingOwner' && asked !== undefined && isMoved(asked),
    )
    .flatMap((forward) => {
      forward.pendingReservation = undefined;
      forward.lastReason = reason;
      return placeForward(state, forward, now);
    });
}
