import { getRendezvousOrder } from '../base/hash.ts';
import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import {
  chooseEndpoint,
  getHealthyEndpoints,
  getRoutableEndpoints,
} from '../fleet/endpointChoice.ts';
import { FAILURE_COST_MS, CROSS_ZONE_COST_MS } from '../fleet/constants.ts';
import type { EndpointView } from '../fleet/types.ts';
import { getOwner } from '../owners/owner.ts';
import type { Owner } from '../owners/types.ts';
import { getPrefillMs } from '../residency/prefill.ts';
import { getEngineStatus } from '../residency/engineStatus.ts';
import {
  MAX_RANK_COST_MS,
  RESERVATION_TIMEOUT_MS,
  RANK_COST_MS,
  RUNNING_REQUEST_COST_MS,
  SLOT_SHARING_REQUESTS,
  SLOT_WAIT_COST_MS,
  UNKNOWN_LOAD_COST_MS,
  WARM_LOAD_COST_MS,
} from './constants.ts';
import { scheduleRetry, sendAttempt } from './sending.ts';
import type { Forward } from './types.ts';

/** An engine that a request may go to, and the owner to ask; without one it is sent unasked. */
interface Candidate {
  view: EndpointView;
  owner: Owner | undefined;
  cost: number;
}

/** Chooses an endpoint for a request: sends it there, or asks the owner of the engine for a place. */
export function placeForward(state: State, forward: Forward, now: number): Effect[] {
  const views = getRoutableEndpoints(state.fleet, forward.service, forward.excluded);
  if (views.length === 0) {
    // Those that turned it away may take it after the pause.
    forward.excluded.clear();
    return scheduleRetry(state, forward, forward.lastReason || 'no endpoint can take it', now);
  }
  const service = state.routes.current?.services.get(forward.service);
  if (service?.engine === undefined || forward.labels.model === '') {
    const view = chooseEndpoint(views, state.host.zone, now, state.random.getFraction());
    if (view === undefined) return scheduleRetry(state, forward, 'no endpoint can take it', now);
    return sendAttempt(state, forward, view, undefined, undefined, now);
  }
  const candidate = chooseEngine(state, forward, getHealthyEndpoints(views, now), now);
  if (candidate === undefined) return scheduleRetry(state, forward, 'no engine can take it', now);
  const { view, owner } = candidate;
  if (owner === undefined) {
    return sendAttempt(
      state,
      forward,
      view,
      undefined,
      getToldVersion(state, forward, view, now),
      now,
    );
  }
  return askOwner(state, forward, view, owner.host, now);
}

/** Chooses the engine that is expected to answer first. */
function chooseEngine(
  state: State,
  forward: Forward,
  views: EndpointView[],
  now: number,
): Candidate | undefined {
  const { adapter } = forward.labels;
  const engines = views.map(({ endpoint }) => endpoint.id);
  // The same order on all hosts, so that they load an adapter on the same engines.
  const homes = adapter === '' ? [] : getRendezvousOrder(adapter, engines);
  let best: Candidate | undefined;
  for (const view of views) {
    const candidate = newCandidate(state, forward, view, homes.indexOf(view.endpoint.id), now);
    if (candidate !== undefined && (best === undefined || candidate.cost < best.cost))
      best = candidate;
  }
  return best;
}

function newCandidate(
  state: State,
  forward: Forward,
  view: EndpointView,
  rank: number,
  now: number,
): Candidate | undefined {
  const { id, zone } = view.endpoint;
  const told = getEngineStatus(state, id, now);
  const owner = getOwner(state.owners, id, zone);
  const canAsk =
    owner !== undefined &&
    (owner.host === state.host.id || state.owners.linkedHosts.has(owner.host));
  const { adapter } = forward.labels;
  const models = told?.models ?? view.endpoint.models;
  // An engine that started again holds nothing until its owner has its base model loaded.
  if (!models.includes(getModel(forward))) return undefined;
  const isHeld = adapter === '' || told?.adapters.some(([name]) => name === adapter) === true;
  // Without an owner nobody can have the adapter loaded.
  if (!canAsk && !isHeld) return undefined;
  let cost = zone === state.host.zone ? 0 : CROSS_ZONE_COST_MS;
  cost += view.failureRate * FAILURE_COST_MS;
  cost +=
    told === undefined
      ? UNKNOWN_LOAD_COST_MS
      : told.backlogMs + told.running * RUNNING_REQUEST_COST_MS;
  if (!isHeld) {
    cost += WARM_LOAD_COST_MS + Math.min(MAX_RANK_COST_MS, rank * RANK_COST_MS);
    if (told !== undefined && told.openSlots <= 0) {
      // Many requests share the slot that a popular adapter waits for once.
      const sharing = 1 + state.forwards.popularity.getValue(adapter, now) / SLOT_SHARING_REQUESTS;
      cost += (SLOT_WAIT_COST_MS * (1 - told.openSlots)) / sharing;
    }
  }
  return { view, owner: canAsk ? owner : undefined, cost };
}

function getModel({ labels }: Forward): string {
  return labels.model.split('/')[0] ?? '';
}

function getToldVersion(
  state: State,
  { labels }: Forward,
  { endpoint }: EndpointView,
  now: number,
): number | undefined {
  const announced = state.residency.versions.get(labels.adapter);
  if (announced !== undefined) return announced;
  const held = getEngineStatus(state, endpoint.id, now)?.adapters.find(
    ([name]) => name === labels.adapter,
  );
  return held === undefined || held[1] === 0 ? undefined : held[1];
}

function askOwner(
  state: State,
  forward: Forward,
  { endpoint }: EndpointView,
  owner: string,
  now: number,
): Effect[] {
  const { labels } = forward;
  forward.phase = 'awaitingOwner';
  forward.reservationRequestNumber += 1;
  forward.pendingReservation = { engine: endpoint.id, owner, isQueued: false };
  const told = state.residency.remoteStatuses.get(endpoint.id);
  // Until the owner tells again, this host counts what it sends itself.
  if (told !== undefined) told.sentPrefillMs += getPrefillMs(labels.promptTokens);
  schedule(state, now + RESERVATION_TIMEOUT_MS, {
    type: 'reservationTimeout',
    id: forward.id,
    reservationRequestNumber: forward.reservationRequestNumber,
  });
  return [
    deliver(state, owner, {
      type: 'placeAsked',
      request: forward.id,
      ask: forward.reservationRequestNumber,
      engine: endpoint.id,
      adapter: labels.adapter,
      version: state.residency.versions.get(labels.adapter) ?? 0,
      promptTokens: labels.promptTokens,
      outputTokens: labels.outputTokens,
      remainingMs: forward.deadlineAt - now,
      goalMs: forward.goalAt - now,
    }),
  ];
}
