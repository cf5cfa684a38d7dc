import type { TimerHandlers } from '../core/handlers.ts';
import { joinMembers, maintainMembers } from './members.ts';
import type { OwnersTimer } from './types.ts';

export const ownersTimers: TimerHandlers<OwnersTimer['type']> = {
  joinMembers: (state, _timer, now) => joinMembers(state, now),
  maintainMembers: (state, _timer, now) => maintainMembers(state, now),
};
