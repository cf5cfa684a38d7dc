import type { Effect } from '../core/effects.ts';
import { newGauge } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { isLeaving } from '../fleet/endpointChoice.ts';
import { isPaused } from './pauses.ts';

/** Returns the gauges of the endpoints that leave and of those that want no requests now. */
export function newNoticeGauges({ fleet }: State, now: number): Effect[] {
  const views = [...fleet.views.values()].filter(({ isRemoved }) => !isRemoved);
  const leaving = views.filter((view) => isLeaving(view)).length;
  const paused = views.filter((view) => isPaused(view, now)).length;
  return [
    newGauge('fireflywick_leaving_endpoints', {}, leaving),
    newGauge('fireflywick_paused_endpoints', {}, paused),
  ];
}
