import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { isRoutable } from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
import { breakSilentAttempts } from '../forwards/silentAttempts.ts';
import { getEngineClass } from '../residency/reservations.ts';
import { PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS, SILENCE_PROBE_TIMEOUT_MS } from './constants.ts';
import { dropOutdatedPaths, getDirectEndpoints, losePaths, restorePath } from './lostPaths.ts';
import { avoidRelay } from './relayChoice.ts';
import type { ProbeEnd, ProbeReason, Relay } from './types.ts';

/** Probes an endpoint, directly or through a relay, unless a probe is in flight. */
export function probeEndpoint(
  state: State,
  endpoint: string,
  reason: ProbeReason,
  relay?: Relay,
): Effect[] {
  const { paths, fleet } = state;
  const view = fleet.views.get(endpoint);
  if (paths.probe !== undefined || view === undefined) return [];
  paths.probe = { endpoint, reason, relay: relay?.host };
  const { address } = view.endpoint;
  const timeoutMs = reason === 'silence' ? SILENCE_PROBE_TIMEOUT_MS : PROBE_TIMEOUT_MS;
  return [{ type: 'probeEndpoint', endpoint, address, relay, timeoutMs }];
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
  if (probe?.relay !== undefined)
    return isAnswered ? [] : leaveSilentRelay(state, probe.relay, now);
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

/** Leaves a relay over which nothing arrives, not even the answer to a probe. */
function leaveSilentRelay(state: State, relay: string, now: number): Effect[] {
  avoidRelay(state, relay, undefined, now);
  return [
    newLog('info', 'relay is avoided', { relay, reason: 'nothing arrives through it' }),
    { type: 'retireConnections', relay },
    ...breakSilentAttempts(state, relay),
  ];
}

function markProbed({ paths }: State, endpoint: string, now: number): void {
  const lost = paths.lost.get(endpoint);
  if (lost !== undefined) lost.probedAt = now;
}

/** Once a probe failed too while no endpoint can be reached, moves the attempts that wait in vain. */
function confirmCut(state: State, now: number): Effect[] {
  const { paths } = state;
  const isKnown = paths.cutOffSince !== undefined || paths.lost.size === 0;
  if (isKnown || isAnyReachable(state)) return [];
  paths.cutOffSince = now;
  return [
    newLog('warn', 'this host reaches no engine directly', { lost: paths.lost.size }),
    ...breakSilentAttempts(state, undefined),
  ];
}

/** Whether this host reaches an engine directly, or another endpoint where there are no engines. */
function isAnyReachable(state: State): boolean {
  const direct = getDirectEndpoints(state);
  const isEngine = (view: EndpointView): boolean => getEngineClass(state, view) !== undefined;
  const hasEngines = [...state.fleet.views.values()].some(
    (view) => isRoutable(view) && isEngine(view),
  );
  return hasEngines ? direct.some(isEngine) : direct.length > 0;
}
