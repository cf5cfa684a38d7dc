import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { EndpointView } from '../fleet/types.ts';
import { recordNamedLimit } from '../limits/endpointLimits.ts';
import { scheduleNoticeAnnouncement } from './announcements.ts';
import { applyBrittleness } from './brittleness.ts';
import { newNoticeGauges } from './gauges.ts';
import { recordLeaving } from './leaving.ts';
import { observeMalformed } from './malformed.ts';
import { endPause, startPause } from './pauses.ts';
import { observePause, tellPause } from './relayedPauses.ts';
import type { NamedLeaving, NamedPause, NoticeEvent } from './types.ts';

/** Applies what an answer says of its endpoint. */
export function applyNotice(
  state: State,
  { endpoint, startedAt, sentAt, relay, notice }: NoticeEvent,
  now: number,
): Effect[] {
  const view = state.fleet.views.get(endpoint);
  // An answer from before a restart says nothing of the endpoint as it is now.
  if (view?.endpoint.startedAt !== startedAt) return [];
  if (recordNamedLimit(state, view, notice.limit, sentAt, now))
    scheduleNoticeAnnouncement(state, view, now);
  const brittle = applyBrittleness(state, view, notice.brittle, sentAt, now);
  if (brittle.length > 0) scheduleNoticeAnnouncement(state, view, now);
  return [
    ...brittle,
    ...observeMalformed(view, notice, now),
    ...applyLeaving(state, view, notice.leaving, now),
    ...applyPause(state, view, notice.pause, { sentAt, relay }, now),
  ];
}

function applyLeaving(
  state: State,
  view: EndpointView,
  leaving: NamedLeaving,
  now: number,
): Effect[] {
  if (leaving.type !== 'leaving') return [];
  const effects = recordLeaving(state, view, undefined, now);
  if (effects.length > 0) scheduleNoticeAnnouncement(state, view, now);
  return effects;
}

/**
 * The pause holds for this host, and those that it relays for or that relay for it: an endpoint may turn
 * away some hosts and serve others, and each host that it turns away is told the time itself.
 */
function applyPause(
  state: State,
  view: EndpointView,
  pause: NamedPause,
  { sentAt, relay }: Pick<NoticeEvent, 'sentAt' | 'relay'>,
  now: number,
): Effect[] {
  if (pause.type === 'malformed') return [];
  if (pause.type === 'none') return endPause(view, sentAt) ? newNoticeGauges(state, now) : [];
  const untilBefore = view.pause?.until ?? -Infinity;
  const isNew = startPause(view, pause.ms, sentAt, now);
  const isLonger = (view.pause?.until ?? -Infinity) > untilBefore;
  return [
    ...(isNew ? observePause(state, view, pause.ms, undefined, now) : []),
    ...(isLonger ? tellPause(state, view, { relay }, now) : []),
  ];
}
