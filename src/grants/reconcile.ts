import type { WarmIntent } from '../configuration/types.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { isEngineAvailable } from '../engines/availability.ts';
import { canOrderDestructively } from '../ownership/owner.ts';
import { getRing } from '../routing/modelRings.ts';
import { RECONCILE_INTERVAL_MS } from './constants.ts';
import { newEngineOrder } from './engineOrders.ts';
import { refuseQueue, serveQueue } from './grantQueue.ts';
import type { OwnedEngine } from './types.ts';

const MINUTE_MS = 60_000;
const DAY_MINUTES = 1_440;

/** Brings roles and warm adapters of all owned engines in line with the configuration in force. */
export function reconcileOwnedEngines(state: State, now: number): Effect[] {
  schedule(state, now + RECONCILE_INTERVAL_MS, { type: 'reconcile' });
  assignWarmAdapters(state, now);
  return [...state.grants.owned.values()].flatMap((owned) => [
    ...reconcileRole(state, owned, now),
    ...serveQueue(state, owned, now),
  ]);
}

/**
 * Assigns warm adapters to the first available engines on the hash ring in each zone of the pool,
 * so that a copy moves to another engine when its engine leaves or fails. One slot of each engine
 * is not used for warm adapters.
 */
export function assignWarmAdapters(state: State, now: number): void {
  const { grants, configuration, host } = state;
  for (const owned of grants.owned.values()) owned.warmModels.clear();
  if (grants.owned.size === 0) return;
  for (const intent of configuration.warmIntents.values()) {
    if (!isInWindow(state, intent, now)) continue;
    const adapter = configuration.adapters.get(intent.adapter);
    if (adapter === undefined) continue;
    const model = `${adapter.name}@${adapter.inForce}`;
    const chosen = getRing(state, adapter.model)?.find(model, intent.copies, (id) => {
      const engine = configuration.engines.get(id);
      return (
        engine?.zone === host.zone && engine.pool === intent.pool && isEngineAvailable(state, id)
      );
    });
    for (const id of chosen ?? []) {
      const owned = grants.owned.get(id);
      const slots = configuration.engines.get(id)?.slots ?? 0;
      if (owned !== undefined && owned.warmModels.size < slots - 1) owned.warmModels.add(model);
    }
  }
}

/** Orders a changed role once the engine is idle; until then the engine takes no new requests. */
function reconcileRole(state: State, owned: OwnedEngine, now: number): Effect[] {
  const engine = state.configuration.engines.get(owned.id);
  const role = state.configuration.engineRoles.get(owned.id) ?? 'mixed';
  owned.isRoleChanging = role !== owned.role;
  if (engine === undefined || !owned.isRoleChanging) return [];
  const refused = refuseQueue(state, owned, 'full');
  const reported = [...owned.reportedRunning.values()].reduce((sum, count) => sum + count, 0);
  const isIdle = owned.pins.size === 0 && reported === 0;
  if (!isIdle || owned.isRoleOrdered) return refused;
  if (!canOrderDestructively(state, owned.id, now, reported)) return refused;
  owned.isRoleOrdered = true;
  return [...refused, newEngineOrder(owned, engine, { type: 'role', role })];
}

function isInWindow(state: State, { window }: WarmIntent, now: number): boolean {
  const { unixOffsetMs } = state.grants;
  // Without wall-clock time the window counts as open: a needlessly warm adapter does less harm
  // than a cold one.
  if (window === undefined || unixOffsetMs === undefined) return true;
  const minute = Math.floor((now + unixOffsetMs) / MINUTE_MS) % DAY_MINUTES;
  const { fromMinute, untilMinute } = window;
  return fromMinute <= untilMinute
    ? minute >= fromMinute && minute < untilMinute
    : minute >= fromMinute || minute < untilMinute;
}
