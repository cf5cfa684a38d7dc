import type { EventHandlers, MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { handleMembersWriteAnswer } from '../owners/members.ts';
import { handleSplitsWriteAnswer } from '../streams/splitsRow.ts';
import { handleSuspectsWriteAnswer } from '../suspects/directorySuspects.ts';
import { applyDeferredRemovals } from './apply.ts';
import { runReaderHeartbeatRound, handleReaderHeartbeat } from './readerHeartbeats.ts';
import { applyTopicChanges } from './announcements.ts';
import type { DirectoryEvent, DirectoryTimer } from './types.ts';
import { pollPeer, startTopicCall, handleTopicAnswer, sendTopicChanges } from './watch.ts';

export const directoryEvents: EventHandlers<DirectoryEvent['type']> = {
  directoryAnswered: (state, { topic, call, isRead, answer }, now) =>
    handleTopicAnswer(state, topic, call, isRead, answer, now),
  membersWriteAnswered: (state, { row, answer }, now) =>
    handleMembersWriteAnswer(state, row, answer, now),
  splitsWriteAnswered: (state, { row, answer }, now) =>
    handleSplitsWriteAnswer(state, row, answer, now),
  suspectsWriteAnswered: (state, { row, answer }, now) =>
    handleSuspectsWriteAnswer(state, row, answer, now),
};

export const directoryMessages: MessageHandlers<'topicAsked' | 'topicTold' | 'directoryFed'> = {
  topicAsked: (state, { topic, after }, from) => sendTopicChanges(state, topic, after, from),
  topicTold: (state, topicChanges, _from, now) => applyTopicChanges(state, topicChanges, now),
  directoryFed: (state, heartbeat, from, now) => handleReaderHeartbeat(state, heartbeat, from, now),
};

export const directoryTimers: TimerHandlers<DirectoryTimer['type']> = {
  startTopicCall: (state, { topic }, now) => startTopicCall(state, topic, now),
  pollPeer: (state, { topic }, now) => pollPeer(state, topic, now),
  readerHeartbeatRound: (state, _timer, now) => runReaderHeartbeatRound(state, now),
  applyDeferredRemovals: (state, _timer, now) => applyDeferredRemovals(state, now),
};
