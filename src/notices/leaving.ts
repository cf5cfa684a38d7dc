import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { isLeaving } from '../fleet/endpointChoice.ts';
import type { Endpoint, EndpointView } from '../fleet/types.ts';
import { rerouteFromEngine } from '../forwards/rerouting.ts';
import { updateOwnedEngines } from '../residency/ownedEngines.ts';
import { scheduleSplitUpdate } from '../streams/splitsRow.ts';
import { newNoticeGauges } from './gauges.ts';

/**
 * Records that an endpoint leaves; `from` is the host that told it, undefined if an answer did. Only
 * a new start of the endpoint ends this, since answers, rows and news of hosts may arrive late. Returns
 * no effects if it is known already.
 */
export function recordLeaving(
  state: State,
  view: EndpointView,
  from: string | undefined,
  now: number,
): Effect[] {
  if (view.isRemoved || isLeaving(view)) return [];
  const source = from === undefined ? 'answer' : 'host';
  view.isToldLeaving = true;
  scheduleSplitUpdate(state, now);
  return [
    ...observeLeaving(state, view.endpoint, { source, from }, now),
    ...updateOwnedEngines(state, now),
    ...rerouteFromEngine(state, view.endpoint.id, 'the engine is leaving', now),
  ];
}

/** Where a host knows from that an endpoint leaves, as log lines say it. */
type LeavingNews =
  | { source: 'directory'; remainingMs: number | undefined }
  | { source: 'answer' | 'host'; from: string | undefined };

/** Returns the log line and the gauges of an endpoint of which this host has just learned that it leaves. */
export function observeLeaving(
  state: State,
  { id, service }: Endpoint,
  news: LeavingNews,
  now: number,
): Effect[] {
  return [
    newLog('info', 'endpoint is leaving', { endpoint: id, service, ...news }),
    ...newNoticeGauges(state, now),
  ];
}
