import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { breakSilentAttempts } from '../forwards/silentAttempts.ts';
import { PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS, SILENCE_PROBE_TIMEOUT_MS } from './constants.ts';
import { dropOutdatedPaths, getDirectEndpoints, losePaths, restorePath } from './lostPaths.ts';
import type { ProbeEnd, ProbeReason } from './types.ts';

/** Probes an endpoint unless a probe is in flight. */
export function probeEndpoint(state: State, endpoint: string, reason: ProbeReason): Effect[] {
  const { paths, fleet } = state;
  const view = fleet.views.get(endpoint);
  if (paths.probe !== undefined || view === undefined) return [];
  paths.probe = { endpoint, reason };
  const { address } = view.endpoint;
  const timeoutMs = reason === 'silence' ? SILENCE_PROBE_TIMEOUT_MS : PROBE_TIMEOUT_MS;
  return [{ type: 'probeEndpoint', endpoint, address, timeoutMs }];
}

/** Applies the result of a probe, and probes the next endpoint at once after one that answered. */
export function handleProbeEnd(
  state: State,
  { endpoint, isAnswered }: ProbeEnd,
  now: number,
): Effect[] {
  const { paths, fleet } = state;
  const probe = paths.probe;
  paths.probe = undefined;
  if (isAnswered) {
    const restored = restorePath(state, endpoint, now);
    return [...restored, ...(paths.lost.size > 0 ? probeNextPath(state, now) : [])];
  }
  if (probe?.reason === 'silence') {
    const reason = 'no endpoint sends anything to this host';
    const lost = losePaths(state, getDirectEndpoints(state), reason, now);
    markProbed(state, endpoint, now);
    return [...lost, ...probeNextPath(state, now)];
  }
  const view = fleet.views.get(endpoint);
  const lost = view === undefined ? [] : losePaths(state, [view], 'it did not answer a probe', now);
  markProbed(state, endpoint, now);
  return [...lost, ...confirmCut(state, now), ...scheduleProbe(state, now)];
}

/** Probes the endpoint that was probed longest ago of those that this host can't reach directly. */
export function probeNextPath(state: State, now: number): Effect[] {
  const { paths } = state;
  dropOutdatedPaths(state);
  let next: string | undefined;
  let probedAt = Infinity;
  for (const [endpoint, lost] of paths.lost) {
    if (lost.probedAt >= probedAt) continue;
    next = endpoint;
    probedAt = lost.probedAt;
  }
  if (next === undefined) return [];
  scheduleProbe(state, now);
  return probeEndpoint(state, next, 'lost');
}

/** Schedules the next probe while there are endpoints that this host can't reach directly. */
export function scheduleProbe(state: State, now: number): Effect[] {
  const { paths } = state;
  if (paths.isProbeScheduled || paths.lost.size === 0) return [];
  paths.isProbeScheduled = true;
  schedule(state, now + PROBE_INTERVAL_MS, { type: 'probePaths' });
  return [];
}

function markProbed({ paths }: State, endpoint: string, now: number): void {
  const lost = paths.lost.get(endpoint);
  if (lost !== undefined) lost.probedAt = now;
}

/** Once a probe failed too while no endpoint can be reached, moves the attempts that wait in vain. */
function confirmCut(state: State, now: number): Effect[] {
  const { paths } = state;
  const isKnown = paths.cutOffSince !== undefined || paths.lost.size === 0;
  if (isKnown || getDirectEndpoints(state).length > 0) return [];
  paths.cutOffSince = now;
  return [
    newLog('warn', 'this host reaches no endpoint directly', { endpoints: paths.lost.size }),
    ...breakSilentAttempts(state, undefined),
  ];
}
