import type { Effect } from '../core/effects.ts';
import type { EventHandlers, TimerHandlers } from '../core/handlers.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { syncOwned } from '../grants/owned.ts';
import { ENGINE_POLL_MS } from './constants.ts';
import type { EngineEvent, EngineTimer } from './types.ts';
import { getView, updateFromReport } from './views.ts';

export const engineEvents: EventHandlers<EngineEvent['type']> = {
  engineReported: (state, { engine, report }, now) => {
    updateFromReport(state.engines, engine, report, now);
    return syncOwned(state, engine, report, now);
  },
  engineSilent: (state, { engine, refused }) => {
    const view = getView(state.engines, engine);
    const wasReachable = view.state !== 'unreachable';
    view.state = 'unreachable';
    return wasReachable ? [newLog('warn', 'engine does not answer', { engine, refused })] : [];
  },
};

export const engineTimers: TimerHandlers<EngineTimer['type']> = {
  pollEngine: (state, { engine }, now) => pollEngine(state, engine, now),
};

function pollEngine(state: State, engine: string, now: number): Effect[] {
  const known = state.configuration.engines.get(engine);
  if (known === undefined || !state.grants.owned.has(engine)) return [];
  schedule(state, now + ENGINE_POLL_MS, { type: 'pollEngine', engine });
  return [{ type: 'readEngine', engine, address: known.address }];
}
