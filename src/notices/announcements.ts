import type { Effect } from '../core/effects.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EndpointView } from '../fleet/types.ts';
import {
  applyAnnouncedLimits,
  getAnnouncedLimit,
  observeNamedLimits,
} from '../limits/endpointLimits.ts';
import { ANNOUNCE_INTERVAL_MS } from './constants.ts';
import { getBrittleEndpoint, recordBrittle } from './brittleness.ts';
import { recordLeaving } from './leaving.ts';
import type { EndpointNoticesAnnounced, LeavingEndpoint } from './types.ts';

/** Has other hosts told soon of what an endpoint said of itself. */
export function scheduleNoticeAnnouncement(
  state: State,
  { endpoint }: EndpointView,
  now: number,
): void {
  const { notices } = state;
  notices.changed.add(endpoint.id);
  if (notices.isAnnouncementScheduled) return;
  notices.isAnnouncementScheduled = true;
  const at = Math.max(now, notices.announcedAt + ANNOUNCE_INTERVAL_MS);
  schedule(state, at, { type: 'announceNotices' });
}

/** Tells all linked hosts what answers to this host newly said of endpoints. */
export function announceNotices(state: State, now: number): Effect[] {
  const { notices, fleet, owners } = state;
  const views = [...notices.changed].flatMap((endpoint) => fleet.views.get(endpoint) ?? []);
  notices.changed.clear();
  notices.isAnnouncementScheduled = false;
  notices.announcedAt = now;
  return [
    ...observeNamedLimits(state, views),
    ...[...owners.linkedHosts].flatMap((host) => sendNotices(state, host, views)),
  ];
}

/** Sends a host whose link opened all that this host knows of endpoints by their answers. */
export function sendKnownNotices(state: State, host: string): Effect[] {
  return sendNotices(state, host, [...state.fleet.views.values()]);
}

/** Adopts what another host learned of endpoints before this one. */
export function applyAnnouncedNotices(
  state: State,
  { limits, leaving = [], brittle = [] }: EndpointNoticesAnnounced,
  from: string,
  now: number,
): Effect[] {
  return [
    ...applyAnnouncedLimits(state, limits, from, now),
    ...leaving.flatMap(({ endpoint, startedAt }) => {
      const view = state.fleet.views.get(endpoint);
      return view?.endpoint.startedAt === startedAt ? recordLeaving(state, view, from, now) : [];
    }),
    ...brittle.flatMap(({ endpoint, startedAt }) => {
      const view = state.fleet.views.get(endpoint);
      return view?.endpoint.startedAt === startedAt ? recordBrittle(state, view, from, now) : [];
    }),
  ];
}

function sendNotices(state: State, host: string, views: readonly EndpointView[]): Effect[] {
  const present = views.filter(({ isRemoved }) => !isRemoved);
  const limits = present.flatMap((view) => getAnnouncedLimit(view) ?? []);
  const leaving = present.flatMap((view) => getLeavingEndpoint(view) ?? []);
  const brittle = present.flatMap((view) => getBrittleEndpoint(view) ?? []);
  if (limits.length + leaving.length + brittle.length === 0) return [];
  return [sendMessage(state, host, { type: 'endpointLimitsAnnounced', limits, leaving, brittle })];
}

function getLeavingEndpoint({
  endpoint,
  isToldLeaving,
}: EndpointView): LeavingEndpoint | undefined {
  return isToldLeaving ? { endpoint: endpoint.id, startedAt: endpoint.startedAt } : undefined;
}
