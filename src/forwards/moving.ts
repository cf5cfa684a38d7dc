import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { place } from './placing.ts';
import type { Forward } from './types.ts';

type Asked = NonNullable<Forward['asked']>;

/** Places the requests anew that wait for an owner which cannot be heard any more. */
export function moveFromOwner(state: State, owner: string, now: number): Effect[] {
  const reason = 'the owner of the engine cannot be heard';
  return moveAsked(state, (asked) => asked.owner === owner, reason, now);
}

/** Places the requests anew that wait for a place on an engine that is gone. */
export function moveFromEngine(state: State, engine: string, now: number): Effect[] {
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
      ({ phase, asked }) => phase === 'awaitingOwner' && asked !== undefined && isMoved(asked),
    )
    .flatMap((forward) => {
      forward.asked = undefined;
      forward.lastReason = reason;
      return place(state, forward, now);
    });
}
