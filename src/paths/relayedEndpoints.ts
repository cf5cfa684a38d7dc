import type { State } from '../core/state.ts';
import { isPaused } from '../notices/pauses.ts';
import { isPathLost } from './lostPaths.ts';

/**
 * Returns the address of an endpoint to which this host relays the connections of others; undefined if it
 * stops, does not know the endpoint or can't reach it directly.
 */
export function getRelayedAddress(state: State, endpoint: string): string | undefined {
  const view = state.fleet.views.get(endpoint);
  const isStopping = state.phase !== 'running';
  if (isStopping || view === undefined || view.isRemoved) return undefined;
  if (isPathLost(state, view) || isPaused(view, state.now)) return undefined;
  return view.endpoint.address;
}
