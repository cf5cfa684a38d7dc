import { startConfiguration } from '../configuration/handlers.ts';
import { startMembership } from '../membership/handlers.ts';
import { startOwnership } from '../ownership/handlers.ts';
import type { EventHandlers, TimerHandlers } from './handlers.ts';
import { checkDrained, type LifecycleTimer, startDraining, startShutdown } from './lifecycle.ts';

export const hostEvents: EventHandlers<'started' | 'stopRequested'> = {
  started: (state, _event, now) => [
    ...startConfiguration(state, now),
    ...startMembership(state, now),
    ...startOwnership(state, now),
  ],
  stopRequested: (state, _event, now) => startShutdown(state, now),
};

export const hostTimers: TimerHandlers<LifecycleTimer['type']> = {
  lameDuckOver: (state, _timer, now) => startDraining(state, now),
  checkDrained: (state, _timer, now) => checkDrained(state, now),
};
