import type { Effect } from '../core/effects.ts';
import type { EventHandlers, TimerHandlers } from '../core/handlers.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { updateResidentsFromReport } from '../grants/owned.ts';
import { serveQueue } from '../grants/grantQueue.ts';
import { endCrashChecks } from '../requests/crashCheck.ts';
import { updateSuspectsOnReport, updateSuspectsOnRefusedConnection } from '../suspects/crashes.ts';
import { ENGINE_POLL_INTERVAL_MS } from './constants.ts';
import type { EngineEvent, EngineTimer } from './types.ts';
import { getOrCreateEngineView, updateViewFromReport } from './views.ts';

export const engineEvents: EventHandlers<EngineEvent['type']> = {
  engineReported: (state, { engine, report }, now) => {
    const crashEffects = updateSuspectsOnReport(state, engine, report.bootId, now);
    const residentEffects = updateResidentsFromReport(state, engine, report, now);
    const owned = state.grants.owned.get(engine);
    // The owner knows the effect of its own orders before the lagging report shows it.
    const residents = owned === undefined ? report.residents : [...owned.residents.keys()];
    updateViewFromReport(state.engines, engine, { ...report, residents }, now);
    return [...crashEffects, ...residentEffects, ...endCrashChecks(state, engine, now)];
  },
  engineUnreachable: (state, { engine, refused }, now) => {
    const crashEffects = refused ? updateSuspectsOnRefusedConnection(state, engine, now) : [];
    const view = getOrCreateEngineView(state.engines, engine);
    const wasReachable = view.state !== 'unreachable';
    view.state = 'unreachable';
    const owned = state.grants.owned.get(engine);
    const queueEffects = owned === undefined || !wasReachable ? [] : serveQueue(state, owned, now);
    const logEffects = wasReachable
      ? [newLog('warn', 'engine marked as unreachable', { engine, refused })]
      : [];
    return [...crashEffects, ...logEffects, ...queueEffects, ...endCrashChecks(state, engine, now)];
  },
};

export const engineTimers: TimerHandlers<EngineTimer['type']> = {
  pollEngine: (state, { engine }, now) => pollEngine(state, engine, now),
};

function pollEngine(state: State, engine: string, now: number): Effect[] {
  const known = state.configuration.engines.get(engine);
  if (known === undefined || !state.grants.owned.has(engine)) return [];
  schedule(state, now + ENGINE_POLL_INTERVAL_MS, { type: 'pollEngine', engine });
  return [{ type: 'readEngine', engine, address: known.address }];
}
