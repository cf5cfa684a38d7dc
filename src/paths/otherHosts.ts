import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { EndpointView } from '../fleet/types.ts';
import type { EndpointCheck } from '../forwards/types.ts';
import { MAX_UNREACHABLE_ENGINES } from '../owners/constants.ts';
import { getMember } from '../owners/owner.ts';
import { getEngineClass } from '../residency/reservations.ts';
import { MAX_HOSTS_ASKED } from './constants.ts';
import { avoidRelay, findRelay } from './relayChoice.ts';
import type { LostPath } from './types.ts';

/**
 * Finds out whether other hosts reach engines that this host can't reach. An engine that is down keeps its
 * owner: another one could not order it either and would wait before its first order.
 */
export function checkOtherHosts(
  state: State,
  views: readonly EndpointView[],
  now: number,
): Effect[] {
  const isOwner = getMember(state.owners, state.host.id)?.isOwner === true;
  return views
    .filter((view) => getEngineClass(state, view) !== undefined)
    .filter(({ endpoint }) => isOwner || state.residency.owned.has(endpoint.id))
    .slice(0, MAX_UNREACHABLE_ENGINES)
    .flatMap((view) => checkNextHost(state, view, now));
}

/** Tries again for the engines of this host that no other host is known to reach. */
export function checkOtherHostsAgain(state: State, now: number): Effect[] {
  const { paths, residency, fleet } = state;
  const engines = [...paths.lost]
    .filter(([engine, lost]) => residency.owned.has(engine) && !lost.isReachedByOthers)
    .map(([engine, lost]) => {
      lost.hostsAsked = 0;
      return engine;
    });
  return engines
    .flatMap((engine) => fleet.views.get(engine) ?? [])
    .flatMap((view) => checkNextHost(state, view, now));
}

/** Applies what another host found out; asks the next one if this one can't reach the engine either. */
export function recordOtherHostCheck(state: State, check: EndpointCheck, now: number): Effect[] {
  const { endpoint, startedAt, relay, isRefused, isRunning = false } = check;
  const lost = state.paths.lost.get(endpoint);
  const view = state.fleet.views.get(endpoint);
  if (relay === undefined || lost?.startedAt !== startedAt || view === undefined) return [];
  lost.isReachedByOthers ||= isRunning;
  if (isRunning || isRefused || !isAskingOthers(lost)) return [];
  avoidRelay(state, relay, endpoint, now);
  return checkNextHost(state, view, now);
}

function checkNextHost(state: State, view: EndpointView, now: number): Effect[] {
  const lost = state.paths.lost.get(view.endpoint.id);
  const relay = findRelay(state, view, now);
  if (lost === undefined || relay === undefined || !isAskingOthers(lost)) return [];
  lost.hostsAsked += 1;
  const { id: endpoint, address, startedAt } = view.endpoint;
  return [{ type: 'checkEndpoint', endpoint, address, relay, startedAt }];
}

function isAskingOthers({ isReachedByOthers, hostsAsked }: LostPath): boolean {
  return !isReachedByOthers && hostsAsked < MAX_HOSTS_ASKED;
}
