import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { isLeaving } from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
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
  const { id, service } = view.endpoint;
  scheduleSplitUpdate(state, now);
  view.isToldLeaving = true;
  return [
    newLog('info', 'endpoint is leaving', {
      endpoint: id,
      service,
      source: from === undefined ? 'answer' : 'host',
      from,
    }),
    ...newNoticeGauges(state, now),
    ...updateOwnedEngines(state, now),
    ...rerouteFromEngine(state, id, 'the engine is leaving', now),
  ];
}
