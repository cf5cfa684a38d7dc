import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import type { EndpointView } from '../fleet/types.ts';
import { rerouteFromEngine } from '../forwards/rerouting.ts';
import { newNoticeGauges } from './gauges.ts';
import { getPauseLeftMs, startPause } from './pauses.ts';
import type { EndpointPaused } from './types.ts';

/**
 * Tells the host that relayed an answer, and the hosts whose connections to the endpoint this host relays,
 * of the pause that the endpoint asked for: it can't tell these hosts apart. `from` knows it already.
 */
export function tellPause(
  state: State,
  view: EndpointView,
  { relay, from }: { relay?: string | undefined; from?: string | undefined },
  now: number,
): Effect[] {
  const { id: endpoint, startedAt } = view.endpoint;
  const ms = getPauseLeftMs(view, now);
  const message: EndpointPaused = { type: 'endpointPaused', endpoint, startedAt, ms };
  return [
    ...(relay === undefined ? [] : [sendMessage(state, relay, message)]),
    { type: 'tellRelayedHosts', message, except: from },
  ];
}

/** Starts the pause of an endpoint that another host was asked for, as if this host had been asked. */
export function applyToldPause(
  state: State,
  { endpoint, startedAt, ms }: EndpointPaused,
  from: string,
  now: number,
): Effect[] {
  const view = state.fleet.views.get(endpoint);
  if (view?.endpoint.startedAt !== startedAt) return [];
  const sentAt = view.pause?.learnedAt ?? now;
  // Only a new pause is passed on, so that hosts which relay for each other do not go on telling it.
  return startPause(view, ms, sentAt, now)
    ? [...observePause(state, view, ms, from, now), ...tellPause(state, view, { from }, now)]
    : [];
}

/** Logs a new pause and moves the requests that wait for the endpoint. */
export function observePause(
  state: State,
  view: EndpointView,
  askedMs: number,
  from: string | undefined,
  now: number,
): Effect[] {
  const { id, service } = view.endpoint;
  return [
    newLog('info', 'endpoint wants no requests for a time', {
      endpoint: id,
      service,
      from,
      askedMs: Math.round(askedMs),
      pauseMs: Math.round(getPauseLeftMs(view, now)),
    }),
    ...newNoticeGauges(state, now),
    ...rerouteFromEngine(state, id, 'the engine wants no requests for a time', now),
  ];
}
