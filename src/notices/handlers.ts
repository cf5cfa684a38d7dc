import type { EventHandlers, MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { announceNotices, applyAnnouncedNotices } from './announcements.ts';
import { applyNotice } from './endpointNotices.ts';
import { applyToldPause } from './relayedPauses.ts';
import type { NoticeEvent, NoticeTimer } from './types.ts';

export const noticeEvents: EventHandlers<NoticeEvent['type']> = {
  noticeRead: (state, event, now) => applyNotice(state, event, now),
};

export const noticeMessages: MessageHandlers<'endpointLimitsAnnounced' | 'endpointPaused'> = {
  endpointLimitsAnnounced: (state, message, from, now) =>
    applyAnnouncedNotices(state, message, from, now),
  endpointPaused: (state, message, from, now) => applyToldPause(state, message, from, now),
};

export const noticeTimers: TimerHandlers<NoticeTimer['type']> = {
  announceNotices: (state, _timer, now) => announceNotices(state, now),
};
