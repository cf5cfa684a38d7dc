import type { MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { announceLimits, applyAnnouncedLimits, reportLimitUse } from './endpointLimits.ts';
import { servePermits } from './permitQueue.ts';
import type { LimitTimer } from './types.ts';

export const limitMessages: MessageHandlers<'endpointLimitsAnnounced'> = {
  endpointLimitsAnnounced: (state, { limits }, from, now) =>
    applyAnnouncedLimits(state, limits, from, now),
};

export const limitTimers: TimerHandlers<LimitTimer['type']> = {
  announceEndpointLimits: (state, _timer, now) => announceLimits(state, now),
  reportLimitUse: (state, _timer, now) => reportLimitUse(state, now),
  servePermits: (state, { endpoint }, now) => servePermits(state, endpoint, now),
};
