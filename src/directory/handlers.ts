import type { EventHandlers, MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { handleMembersWriteAnswer } from '../owners/members.ts';
import { applyDeferred } from './apply.ts';
import { feedGroup, hearFeed } from './feed.ts';
import { takeTold } from './news.ts';
import type { DirectoryEvent, DirectoryTimer } from './types.ts';
import { askPeers, callTopic, continueTopic, tellTopic } from './watch.ts';

export const directoryEvents: EventHandlers<DirectoryEvent['type']> = {
  directoryAnswered: (state, { topic, call, isRead, answer }, now) =>
    continueTopic(state, topic, call, isRead, answer, now),
  membersAnswered: (state, { row, answer }, now) =>
    handleMembersWriteAnswer(state, row, answer, now),
};

export const directoryMessages: MessageHandlers<'topicAsked' | 'topicTold' | 'directoryFed'> = {
  topicAsked: (state, { topic, after }, from) => tellTopic(state, topic, after, from),
  topicTold: (state, told, _from, now) => takeTold(state, told, now),
  directoryFed: (state, fed, from, now) => hearFeed(state, fed, from, now),
};

export const directoryTimers: TimerHandlers<DirectoryTimer['type']> = {
  callTopic: (state, { topic }, now) => callTopic(state, topic, now),
  askPeers: (state, { topic }, now) => askPeers(state, topic, now),
  feedRound: (state, _timer, now) => feedGroup(state, now),
  removeDeferred: (state, _timer, now) => applyDeferred(state, now),
};
