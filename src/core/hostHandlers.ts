import { startRetention } from '../actions/retention.ts';
import { startDrafts } from '../drafts/takeover.ts';
import { startSuspects } from '../suspects/table.ts';
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
    ...startRetention(state, now),
    ...startSuspects(state, now),
    ...startDrafts(state, now),
  ],
  stopRequested: (state, _event, now) => startShutdown(state, now),
};

export const hostTimers: TimerHandlers<LifecycleTimer['type']> = {
  lameDuckOver: (state, _timer, now) => startDraining(state, now),
  checkDrained: (state, _timer, now) => checkDrained(state, now),
};
