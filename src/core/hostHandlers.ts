import { startConfiguration } from '../configuration/handlers.ts';
import type { EventHandlers } from './handlers.ts';

export const hostEvents: EventHandlers<'started' | 'stopRequested'> = {
  started: (state, _event, now) => startConfiguration(state, now),
  stopRequested: (state) => {
    state.requests.isAccepting = false;
    return state.requests.inFlight.size === 0 ? [{ type: 'stopped' }] : [];
  },
};
