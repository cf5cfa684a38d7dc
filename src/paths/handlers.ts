import type { EventHandlers, TimerHandlers } from '../core/handlers.ts';
import { updateOwnReachability } from '../owners/reachability.ts';
import { checkLostOrderConnections, handleOrderCheckEnd } from './orderConnections.ts';
import { checkOtherHostsAgain } from './otherHosts.ts';
import { handlePathSilence } from './pathOutcomes.ts';
import { handleProbeEnd, probeNextPath } from './probes.ts';
import type { PathEvent, PathTimer } from './types.ts';

export const pathEvents: EventHandlers<PathEvent['type']> = {
  pathSilent: (state, event) => handlePathSilence(state, event),
  endpointProbed: (state, event, now) => handleProbeEnd(state, event, now),
  orderConnectionChecked: (state, event, now) => handleOrderCheckEnd(state, event, now),
};

export const pathTimers: TimerHandlers<PathTimer['type']> = {
  probePaths: (state, _timer, now) => {
    state.paths.isProbeScheduled = false;
    return [
      ...probeNextPath(state, now),
      ...checkLostOrderConnections(state, now),
      ...checkOtherHostsAgain(state, now),
      ...updateOwnReachability(state, now),
    ];
  },
};
