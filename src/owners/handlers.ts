import type { TimerHandlers } from '../core/handlers.ts';
import { joinMembers, watchMembers } from './members.ts';
import type { OwnersTimer } from './types.ts';

export const ownersTimers: TimerHandlers<OwnersTimer['type']> = {
  joinMembers: (state, _timer, now) => joinMembers(state, now),
  watchMembers: (state, _timer, now) => watchMembers(state, now),
};
