import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { place } from './placing.ts';

/** Places the requests anew that wait for an owner which cannot be heard any more. */
export function moveAsked(state: State, owner: string, now: number): Effect[] {
  return [...state.forwards.inFlight.values()]
    .filter(({ phase, asked }) => phase === 'asking' && asked?.owner === owner)
    .flatMap((forward) => {
      forward.asked = undefined;
      forward.lastReason = 'the owner of the engine cannot be heard';
      return place(state, forward, now);
    });
}

/** Places the requests anew that wait for a place on an engine that is gone. */
export function noteEndpointGone(state: State, endpoint: string, now: number): Effect[] {
  return [...state.forwards.inFlight.values()]
    .filter(({ phase, asked }) => phase === 'asking' && asked?.engine === endpoint)
    .flatMap((forward) => {
      forward.asked = undefined;
      forward.lastReason = 'the engine is gone';
      return place(state, forward, now);
    });
}
