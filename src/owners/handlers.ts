import type { MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { admitJoiners, handleJoinRequest } from './joining.ts';
import { handleMembersRowSeen, joinMembers, maintainMembers } from './members.ts';
import type { OwnersTimer } from './types.ts';

export const ownersTimers: TimerHandlers<OwnersTimer['type']> = {
  joinMembers: (state, _timer, now) => joinMembers(state, now),
  maintainMembers: (state, _timer, now) => maintainMembers(state, now),
  admitJoiners: (state, _timer, now) => admitJoiners(state, now),
};

export const ownersMessages: MessageHandlers<'membersRowSeen' | 'joinAsked'> = {
  joinAsked: (state, request, from, now) => handleJoinRequest(state, request, from, now),
  membersRowSeen: (state, { epoch }, from) => handleMembersRowSeen(state, epoch, from),
};
