import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { EventHandlers, MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { announceZoneRowsTo } from '../ownership/rowAdoption.ts';
import {
  DIGEST_INTERVAL_MS,
  GOSSIP_INTERVAL_MS,
  MAX_MESSAGE_ENTRIES,
  SUMMARY_INTERVAL_MS,
} from './constants.ts';
import { dropQueuedRequestsOfHost } from '../grants/grantQueue.ts';
import {
  rerouteRequestsFromOwner,
  resumeRequestsWaitingForLink,
} from '../requests/grantRequests.ts';
import { sendKnownSuspects } from '../suspects/suspectReports.ts';
import {
  getHostListIntervalMs,
  updateLeavingEndpoints,
  updateLeavingFromHostList,
} from './endpoints.ts';
import {
  answerDigest,
  answerVersions,
  sendChangedEntries,
  sendDigest,
  sendEntries,
} from './gossip.ts';
import { getEntryDigest, mergeHostEntry, updateGoneHosts, updateOwnEntry } from './hosts.ts';
import { updateAddressHints, updateLinks } from './linkSelection.ts';
import { applyEngineDelta, getFullUpdate, requestMissingEngines } from './receivedUpdates.ts';
import { sendEngineUpdates } from './sentUpdates.ts';
import { forwardSummary, sendSummaries } from './summaries.ts';
import type { HostState, MembershipEvent, MembershipTimer } from './types.ts';

type MembershipMessage =
  | 'membershipDelta'
  | 'membershipDigest'
  | 'membershipVersions'
  | 'membershipWanted'
  | 'hostRevision'
  | 'endpointsLeaving'
  | 'engineDelta'
  | 'engineWanted';

/** Writes this host's entry, adds the seeds as address hints and schedules the periodic rounds. */
export function startMembership(state: State, now: number): Effect[] {
  updateOwnEntry(state, getOwnState(state));
  for (const { host, address } of state.seeds) {
    state.membership.addressHints.set(host, { zone: state.host.zone, address });
  }
  // Random offsets keep hosts that start at the same time from running their rounds in step.
  const getFirstRoundAt = (ms: number): number => now + state.random.getFraction() * ms;
  schedule(state, getFirstRoundAt(GOSSIP_INTERVAL_MS), { type: 'gossipRound' });
  schedule(state, getFirstRoundAt(DIGEST_INTERVAL_MS), { type: 'digestRound' });
  schedule(state, getFirstRoundAt(SUMMARY_INTERVAL_MS), { type: 'summaryRound' });
  schedule(state, now, { type: 'hostListRound' });
  return updateLinks(state, now);
}

export const membershipEvents: EventHandlers<MembershipEvent['type']> = {
  linkOpened: (state, { host }, now) => {
    const { linkedHosts, unlinkedSince, receivedVersions, hosts } = state.membership;
    linkedHosts.add(host);
    unlinkedSince.delete(host);
    // The host may have restarted, which resets the sequence numbers of its engine updates.
    for (const [engine, version] of receivedVersions)
      if (version.from === host) receivedVersions.delete(engine);
    const own = hosts.get(state.host.id);
    return [
      newLog('info', 'link opened', { to: host }),
      ...sendEntries(state, [host], own === undefined ? [] : [own]),
      sendMessage(state, host, { type: 'membershipDigest', hash: getEntryDigest(state, now) }),
      sendMessage(state, host, { type: 'engineWanted', engines: [] }),
      ...announceZoneRowsTo(state, host),
      ...sendKnownSuspects(state, host),
      ...resumeRequestsWaitingForLink(state, host, now),
    ];
  },
  linkClosed: (state, { host, reason }, now) => {
    state.membership.linkedHosts.delete(host);
    state.membership.unlinkedSince.set(host, now);
    return [
      newLog('warn', 'link closed', { to: host, reason }),
      ...dropQueuedRequestsOfHost(state, host, now),
      ...rerouteRequestsFromOwner(state, host, now),
    ];
  },
  hostListRead: (state, { entries }, now) => {
    state.membership.listedHostCount = entries.length;
    updateAddressHints(state, entries);
    return [...updateLeavingFromHostList(state, entries, now), ...updateLinks(state, now)];
  },
};

export const membershipMessages: MessageHandlers<MembershipMessage> = {
  membershipDelta: (state, { entries }, from, now) => {
    let isChanged = false;
    for (const entry of entries) {
      if (mergeHostEntry(state, entry, from, now)) isChanged = true;
    }
    return isChanged ? updateLinks(state, now) : [];
  },
  membershipDigest: (state, { hash }, from, now) => answerDigest(state, hash, from, now),
  membershipVersions: (state, message, from, now) => answerVersions(state, message, from, now),
  membershipWanted: (state, { hosts }, from) => {
    const entries = hosts.flatMap((host) => state.membership.hosts.get(host) ?? []);
    return sendEntries(state, [from], entries);
  },
  hostRevision: (state, { incarnation, configurationRevision }, from, now) => {
    const known = state.membership.hosts.get(from);
    if (known?.incarnation === incarnation) {
      mergeHostEntry(state, { ...known, configurationRevision }, from, now);
    }
    return [];
  },
  endpointsLeaving: (state, message, _from, now) => updateLeavingEndpoints(state, message, now),
  engineDelta: (state, delta, from, now) => [
    ...applyEngineDelta(state, delta, from, now),
    ...forwardSummary(state, delta, from),
  ],
  engineWanted: (state, { engines }, from) => {
    const requested = engines.length === 0 ? [...state.grants.owned.keys()] : engines;
    const updates = requested
      .slice(0, MAX_MESSAGE_ENTRIES)
      .flatMap((e) => getFullUpdate(state, e) ?? []);
    return updates.length === 0
      ? []
      : [sendMessage(state, from, { type: 'engineDelta', news: updates })];
  },
};

export const membershipTimers: TimerHandlers<MembershipTimer['type']> = {
  gossipRound: (state, _timer, now) => {
    schedule(state, now + GOSSIP_INTERVAL_MS, { type: 'gossipRound' });
    const previousRevision = state.membership.hosts.get(state.host.id)?.configurationRevision;
    updateOwnEntry(state, getOwnState(state));
    return [
      ...updateGoneHosts(state, now),
      ...sendChangedEntries(state),
      ...announceRevisionChange(state, previousRevision),
      ...sendEngineUpdates(state, now),
      ...requestMissingEngines(state, now),
      ...updateLinks(state, now),
    ];
  },
  digestRound: (state, _timer, now) => {
    schedule(state, now + DIGEST_INTERVAL_MS, { type: 'digestRound' });
    return sendDigest(state, now);
  },
  summaryRound: (state, _timer, now) => {
    schedule(state, now + SUMMARY_INTERVAL_MS, { type: 'summaryRound' });
    return sendSummaries(state, now);
  },
  hostListRound: (state, _timer, now) => {
    const interval = getHostListIntervalMs(state.membership.listedHostCount);
    const jitter = 0.8 + 0.4 * state.random.getFraction();
    schedule(state, now + interval * jitter, { type: 'hostListRound' });
    return [{ type: 'readHostList' }];
  },
};

function getOwnState(state: State): HostState {
  if (state.phase === 'stopped') return 'gone';
  if (state.phase !== 'running') return 'leaving';
  return state.configuration.revision > 0 ? 'live' : 'joining';
}

function announceRevisionChange(state: State, previousRevision: number | undefined): Effect[] {
  const { incarnation } = state.host;
  const configurationRevision = state.configuration.revision;
  if (previousRevision === configurationRevision) return [];
  return [...state.membership.linkedHosts].map((to) =>
    sendMessage(state, to, { type: 'hostRevision', incarnation, configurationRevision }),
  );
}
