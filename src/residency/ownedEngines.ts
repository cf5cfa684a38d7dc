import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { isRoutable } from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
import { updatePermits } from '../limits/permitQueue.ts';
import { TAKEOVER_WAIT_MS, UNREACHABLE_AFTER_MS } from '../owners/constants.ts';
import { getMember, getOwner, getMembersRowOwner, isUnreachableFor } from '../owners/owner.ts';
import { requireReport } from './adapterOrders.ts';
import { EngineSpeed } from './engineSpeed.ts';
import { openOrderConnection } from './orderKeepAlive.ts';
import { getEngineClass, refuseQueuedReservations, serveReservations } from './reservations.ts';
import { relocateAdapters } from './relocation.ts';
import type { EngineResidency } from './types.ts';

/** Starts managing engines that this host now owns and stops managing the others. */
export function updateOwnedEngines(state: State, now: number): Effect[] {
  const effects: Effect[] = [];
  updatePermits(state, now);
  for (const owned of [...state.residency.owned.values()]) {
    const view = state.fleet.views.get(owned.id);
    const isStillOwned = view !== undefined && isOwnedHere(state, view);
    if (isStillOwned && isRoutable(view)) continue;
    if (!isStillOwned) state.residency.owned.delete(owned.id);
    else if (!owned.isRelocated) {
      owned.isRelocated = true;
      effects.push(...relocateAdapters(state, owned, now));
    }
    effects.push(...refuseQueuedReservations(state, owned, isStillOwned ? 'leaving' : 'notOwner'));
  }
  for (const view of state.fleet.views.values()) {
    if (view.isRemoved || !isOwnedHere(state, view)) continue;
    effects.push(...updateOwnedEngine(state, view, now));
  }
  return effects;
}

/** Applies the announcement of an adapter version; copies of older versions are no longer used. */
export function applyAdapterVersion(
  state: State,
  adapter: string,
  version: number,
  now: number,
): Effect[] {
  const { versions, owned } = state.residency;
  if (version <= (versions.get(adapter) ?? 0)) return [];
  versions.set(adapter, version);
  return [
    newLog('info', 'adapter version in force', { adapter, version }),
    ...[...owned.values()].flatMap((engine) => serveReservations(state, engine, now)),
  ];
}

function isOwnedHere(state: State, view: EndpointView): boolean {
  if (getEngineClass(state, view) === undefined) return false;
  const { id, zone } = view.endpoint;
  return getOwner(state.owners, id, zone)?.host === state.host.id;
}

function updateOwnedEngine(state: State, view: EndpointView, now: number): Effect[] {
  const { endpoint } = view;
  const { residency, owners } = state;
  const epoch = owners.row?.epoch ?? 0;
  const known = residency.owned.get(endpoint.id);
  if (known === undefined) {
    residency.owned.set(endpoint.id, newOwnedEngine(state, endpoint, epoch, now));
    return [
      newLog('info', 'engine is owned', { engine: endpoint.id, epoch }),
      ...openOrderConnection(state, view, now),
      ...ensureBaseModel(state, endpoint.id, now),
    ];
  }
  if (epoch > known.epoch) {
    known.epoch = epoch;
    known.isFenced = false;
  }
  if (endpoint.startedAt !== known.startedAt) {
    // The engine restarted, so it holds no adapters.
    known.startedAt = endpoint.startedAt;
    known.models = new Set(endpoint.models);
    known.modelLoad = undefined;
    known.copies.clear();
    known.wanted.clear();
    known.isRelocated = false;
    known.reservations.clear();
    known.reservedTokens = 0;
    known.pendingPrefillTokens = 0;
    known.longPrefillTokens = 0;
    known.reading = undefined;
    known.speed = EngineSpeed.create();
    known.orderInFlight = undefined;
    requireReport(known, now);
  }
  known.address = endpoint.address;
  return ensureBaseModel(state, endpoint.id, now);
}

function newOwnedEngine(
  state: State,
  { id, address, zone, startedAt, models }: EndpointView['endpoint'],
  epoch: number,
  now: number,
): EngineResidency {
  return {
    id,
    address,
    startedAt,
    epoch,
    ordersAllowedAt: getOrdersAllowedAt(state, id, zone, now),
    isFenced: false,
    sequence: undefined,
    isReadingReport: false,
    reportAllowedAt: now,
    orderInFlight: undefined,
    unacknowledgedOrder: undefined,
    lostAnswers: 0,
    refusals: 0,
    nextServeAt: -Infinity,
    models: new Set(models),
    modelLoad: undefined,
    copies: new Map(),
    wanted: new Map(),
    isRelocated: false,
    queue: [],
    reservations: new Map(),
    reservedTokens: 0,
    pendingPrefillTokens: 0,
    longPrefillTokens: 0,
    reading: undefined,
    speed: EngineSpeed.create(),
    tenantUse: new Map(),
  };
}

/** Serves the queue of an engine without a base model, which orders a load of one. */
function ensureBaseModel(state: State, engine: string, now: number): Effect[] {
  const owned = state.residency.owned.get(engine);
  return owned === undefined || owned.models.size > 0 ? [] : serveReservations(state, owned, now);
}

/**
 * Returns the monotonic ms from which this host may issue orders to an engine that it now owns. An
 * unreachable predecessor may have issued orders until its link closed, and one that is still a
 * member until this host adopted the members row. One that left by itself no longer issues any.
 */
function getOrdersAllowedAt(state: State, engine: string, zone: string, now: number): number {
  const { owners, host } = state;
  const { previousRow, adoptedAt } = owners;
  const predecessor =
    previousRow === undefined ? undefined : getMembersRowOwner(previousRow, engine, zone);
  if (predecessor === undefined || predecessor === host.id) return now;
  const member = getMember(owners, predecessor);
  const isMember = member !== undefined;
  // It has issued no orders since it lost the path to the engine.
  if (member !== undefined && isUnreachableFor(member, engine))
    return Math.max(now, adoptedAt - UNREACHABLE_AFTER_MS + TAKEOVER_WAIT_MS);
  if (!isMember && owners.linkedHosts.has(predecessor)) return now;
  const lastContactAt = isMember ? adoptedAt : (owners.linkClosedAt.get(predecessor) ?? adoptedAt);
  return Math.max(now, Math.min(lastContactAt, adoptedAt) + TAKEOVER_WAIT_MS);
}
