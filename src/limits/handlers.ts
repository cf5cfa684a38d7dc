import type { TimerHandlers } from '../core/handlers.ts';
import { reportLimitUse } from './endpointLimits.ts';
import { servePermits } from './permitQueue.ts';
import type { LimitTimer } from './types.ts';

export const limitTimers: TimerHandlers<LimitTimer['type']> = {
  reportLimitUse: (state, _timer, now) => reportLimitUse(state, now),
  servePermits: (state, { endpoint }, now) => servePermits(state, endpoint, now),
};
