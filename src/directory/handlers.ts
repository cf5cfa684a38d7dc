import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { EventHandlers, MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { handleMembersWriteAnswer } from '../owners/members.ts';
import { handleSplitsWriteAnswer } from '../streams/splitsRow.ts';
import { handleSuspectsWriteAnswer } from '../suspects/directorySuspects.ts';
import { applyDeferredRemovals } from './apply.ts';
import { runReaderHeartbeatRound, handleReaderHeartbeat } from './readerHeartbeats.ts';
import { applyTopicChanges } from './announcements.ts';
import { applyMembersChange } from './membersChanges.ts';
import { applyRoutingChange } from './routingChanges.ts';
import type { DirectoryEvent, DirectoryTimer, DirectoryWriteAnswer, HostRow } from './types.ts';
import { pollPeer, readAdvancedTopic, sendTopicChanges } from './peerChanges.ts';
import { handleClockJump, handleTopicAnswer, startTopicCall } from './watch.ts';

type RowWriteHandler<T extends HostRow['type'] = HostRow['type']> = (
  state: State,
  row: Extract<HostRow, { type: T }>['row'],
  answer: DirectoryWriteAnswer,
  now: number,
) => Effect[];

const rowWriteHandlers: { [T in HostRow['type']]: RowWriteHandler<T> } = {
  members: handleMembersWriteAnswer,
  suspects: handleSuspectsWriteAnswer,
  versionSplits: handleSplitsWriteAnswer,
};

export const directoryEvents: EventHandlers<DirectoryEvent['type']> = {
  directoryAnswered: (state, { topic, call, isRead, answer }, now) =>
    handleTopicAnswer(state, topic, call, isRead, answer, now),
  clockJumped: (state, _event, now) => handleClockJump(state, now),
  rowWriteAnswered: (state, { content, answer }, now) => {
    const handle = rowWriteHandlers[content.type] as RowWriteHandler;
    return handle(state, content.row, answer, now);
  },
};

export const directoryMessages: MessageHandlers<
  | 'topicAsked'
  | 'topicTold'
  | 'topicAdvanced'
  | 'routingChanged'
  | 'membersChanged'
  | 'directoryFed'
> = {
  membersChanged: (state, change, from, now) => applyMembersChange(state, change, from, now),
  routingChanged: (state, change, from, now) => applyRoutingChange(state, change, from, now),
  topicAdvanced: (state, advance, from, now) => readAdvancedTopic(state, advance, from, now),
  topicAsked: (state, request, from) => sendTopicChanges(state, request, from),
  topicTold: (state, topicChanges, from, now) => applyTopicChanges(state, topicChanges, from, now),
  directoryFed: (state, heartbeat, from, now) => handleReaderHeartbeat(state, heartbeat, from, now),
};

export const directoryTimers: TimerHandlers<DirectoryTimer['type']> = {
  startTopicCall: (state, { topic }, now) => startTopicCall(state, topic, now),
  pollPeer: (state, { topic }, now) => pollPeer(state, topic, now),
  readerHeartbeatRound: (state, _timer, now) => runReaderHeartbeatRound(state, now),
  applyDeferredRemovals: (state, _timer, now) => applyDeferredRemovals(state, now),
};
