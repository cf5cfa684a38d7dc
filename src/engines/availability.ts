import type { State } from '../core/state.ts';
import { isEndpointLeaving } from '../membership/endpoints.ts';

/** Whether new requests may go to `engine`: it is neither leaving nor unreachable. */
export function isEngineAvailable(state: State, engine: string): boolean {
  const view = state.engines.views.get(engine)?.state;
  return !isEndpointLeaving(state, engine) && view !== 'leaving' && view !== 'unreachable';
}
