import type { State } from '../core/state.ts';
import { isEndpointLeaving } from '../membership/endpoints.ts';
import { getShortestPauseMs, isPaused } from '../notices/pauses.ts';

/** Whether new requests may go to `engine`: it is neither leaving nor unreachable. */
export function isEngineAvailable(state: State, engine: string): boolean {
  const view = state.engines.views.get(engine)?.state;
  return !isEndpointLeaving(state, engine) && view !== 'leaving' && view !== 'unreachable';
}

/** Whether an engine wants no requests of this host now. */
export function isEnginePaused({ engines, now }: State, engine: string): boolean {
  const view = engines.views.get(engine);
  return view !== undefined && isPaused(view, now);
}

/** Returns the time until the first paused engine of a base model wants requests again, in ms. */
export function getModelPauseMs(state: State, model: string | undefined): number | undefined {
  const { configuration, engines, now } = state;
  const paused = [...engines.views.values()].filter(
    (view) => isPaused(view, now) && configuration.engines.get(view.id)?.model === model,
  );
  return getShortestPauseMs(paused, now);
}
