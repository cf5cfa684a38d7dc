import type { State } from '../core/state.ts';
import { isEndpointLeaving } from '../membership/endpoints.ts';

/** Whether `engine` may get new work: it is not leaving and it answers. */
export function isEngineAvailable(state: State, engine: string): boolean {
  const view = state.engines.views.get(engine)?.state;
  return !isEndpointLeaving(state, engine) && view !== 'leaving' && view !== 'unreachable';
}
