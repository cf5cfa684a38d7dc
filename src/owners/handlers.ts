import type { MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { handleMembersRowSeen, joinMembers, maintainMembers } from './members.ts';
import type { OwnersTimer } from './types.ts';

export const ownersTimers: TimerHandlers<OwnersTimer['type']> = {
  joinMembers: (state, _timer, now) => joinMembers(state, now),
  maintainMembers: (state, _timer, now) => maintainMembers(state, now),
};

export const ownersMessages: MessageHandlers<'membersRowSeen'> = {
  membersRowSeen: (state, { epoch }, from) => handleMembersRowSeen(state, epoch, from),
};
