import { startRetention } from '../actions/retention.ts';
import { startConfiguration } from '../configuration/handlers.ts';
import type { EventHandlers } from './handlers.ts';

export const hostEvents: EventHandlers<'started' | 'stopRequested'> = {
  started: (state, _event, now) => [
    ...startConfiguration(state, now),
    ...startRetention(state, now),
  ],
  stopRequested: (state) => {
    state.requests.isAccepting = false;
    const isIdle = state.requests.inFlight.size === 0 && state.actions.inFlight.size === 0;
    return isIdle ? [{ type: 'stopped' }] : [];
  },
};
