import { startRetention } from '../actions/retention.ts';
import { startDrafts } from '../drafts/draftTakeover.ts';
import { sendKnownSuspects } from '../suspects/suspectReports.ts';
import { startSuspectPolling } from '../suspects/suspectRows.ts';
import { startConfigurationPolling } from '../configuration/handlers.ts';
import { startMembership } from '../membership/handlers.ts';
import { startOwnership } from '../ownership/handlers.ts';
import { startReaderHeartbeats } from '../directory/readerHeartbeats.ts';
import { startDirectoryWatches } from '../directory/watch.ts';
import { rerouteFromOwner } from '../forwards/rerouting.ts';
import { extendLookups } from '../forwards/resumption.ts';
import { membershipEvents } from '../membership/handlers.ts';
import { sendKnownNotices } from '../notices/announcements.ts';
import { updatePermits } from '../limits/permitQueue.ts';
import { dropRelay } from '../paths/pathOutcomes.ts';
import { recordLinkClosed, recordLinkOpened, startOwners } from '../owners/members.ts';
import { releaseHostReservations } from '../residency/reservations.ts';
import { scheduleAnnouncement } from '../residency/engineStatus.ts';
import { sendKnownStreams } from '../streams/replication.ts';
import type { EventHandlers, TimerHandlers } from './handlers.ts';
import { newLog } from './observations.ts';
import { stopWhenDrained, type LifecycleTimer, startDraining, startShutdown } from './lifecycle.ts';

/** Handlers of the host's start and of requests to stop. */
export const hostEvents: EventHandlers<'started' | 'stopRequested'> = {
  started: (state, _event, now) => {
    if (state.policy.directory !== undefined) {
      state.streams.startedAt = now;
      return [
        ...startDirectoryWatches(state, now),
        ...startReaderHeartbeats(state, now),
        ...startOwners(state, now),
      ];
    }
    return [
      ...startConfigurationPolling(state, now),
      ...startMembership(state, now),
      ...startOwnership(state, now),
      ...startRetention(state, now),
      ...startSuspectPolling(state, now),
      ...startDrafts(state, now),
    ];
  },
  stopRequested: (state, _event, now) => startShutdown(state, now),
};

/** Hosts with a directory do not gossip; their link events concern owners and reservations. */
export const linkEvents: EventHandlers<'linkOpened' | 'linkClosed'> = {
  linkOpened: (state, event, now) => {
    if (state.policy.directory === undefined) return membershipEvents.linkOpened(state, event, now);
    recordLinkOpened(state, event.host);
    scheduleAnnouncement(state, now);
    return [
      newLog('info', 'link opened', { to: event.host }),
      ...sendKnownSuspects(state, event.host),
      ...sendKnownStreams(state, event.host, now),
      ...sendKnownNotices(state, event.host),
      ...extendLookups(state, event.host),
    ];
  },
  linkClosed: (state, event, now) => {
    if (state.policy.directory === undefined) return membershipEvents.linkClosed(state, event, now);
    updatePermits(state, now);
    return [
      newLog('warn', 'link closed', { to: event.host, reason: event.reason }),
      ...recordLinkClosed(state, event.host, now),
      ...releaseHostReservations(state, event.host, now),
      ...rerouteFromOwner(state, event.host, now),
      ...dropRelay(state, event.host),
    ];
  },
};

/** Handlers of the timers of a graceful shutdown. */
export const hostTimers: TimerHandlers<LifecycleTimer['type']> = {
  lameDuckEnded: (state, _timer, now) => startDraining(state, now),
  drainCheck: (state, _timer, now) => stopWhenDrained(state, now),
};
