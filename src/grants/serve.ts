import type { Effect } from '../core/effects.ts';
import { deliver } from '../core/deliver.ts';
import { newCount } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { Engine } from '../configuration/types.ts';
import { canRunWithSuspects, getSuspicion } from '../suspects/suspicion.ts';
import { canOrderDestructively } from '../ownership/owner.ts';
import { ENGINE_CANCEL_MS, MIN_RESIDENCY_MS } from './constants.ts';
import type { OwnedEngine, QueuedAsk, RefusalReason, Resident } from './types.ts';

const KIND_ORDER = { urgent: 0, ordinary: 1, draft: 2 } as const;

/** Grants what can run now and orders the loads that the others wait for. */
export function serveQueue(state: State, owned: OwnedEngine, now: number): Effect[] {
  const engine = state.configuration.engines.get(owned.id);
  if (engine === undefined) return [];
  const effects: Effect[] = [];
  owned.queue.sort(compareAsks);
  const left: QueuedAsk[] = [];
  for (const ask of owned.queue) {
    if (ask.arrivedAt + ask.remainingMs <= now) continue;
    if (getSuspicion(state, ask.fingerprint) === 'quarantined') {
      effects.push(...refuse(state, ask, 'suspect'));
    } else if (
      owned.residents.has(ask.model) &&
      owned.pins.size < engine.batch &&
      canRunWithSuspects(state, owned, ask)
    ) {
      effects.push(...giveGrant(state, owned, ask, now));
    } else {
      left.push(ask);
    }
  }
  owned.queue = left;
  return [...effects, ...orderLoads(state, owned, engine, now)];
}

/** Returns the message that refuses `ask`. */
export function refuse(
  state: State,
  ask: { from: string; request: string; ask: number; engine: string },
  reason: RefusalReason,
): Effect[] {
  const { request, engine } = ask;
  return [
    newCount('fireflywick_decisions_total', { decision: 'refused', reason }),
    deliver(state, ask.from, { type: 'grantRefused', request, ask: ask.ask, engine, reason }),
  ];
}

function compareAsks(a: QueuedAsk, b: QueuedAsk): number {
  return (
    KIND_ORDER[a.kind] - KIND_ORDER[b.kind] || a.priority - b.priority || a.arrivedAt - b.arrivedAt
  );
}

function giveGrant(state: State, owned: OwnedEngine, ask: QueuedAsk, now: number): Effect[] {
  const grant = `${state.host.id}-${state.random.getHex(8)}`;
  const expiresAt = ask.arrivedAt + ask.remainingMs + ENGINE_CANCEL_MS;
  owned.pins.set(grant, {
    grant,
    request: ask.request,
    host: ask.from,
    model: ask.model,
    firm: ask.firm,
    fingerprint: ask.fingerprint,
    grantedAt: now,
    expiresAt,
  });
  const resident = owned.residents.get(ask.model);
  if (resident !== undefined) resident.lastUsedAt = now;
  schedule(state, expiresAt, { type: 'pinExpiry', engine: owned.id, grant });
  const stallMs = ask.residentAt === undefined ? 0 : ask.residentAt - ask.arrivedAt;
  return [
    deliver(state, ask.from, {
      type: 'grantGiven',
      request: ask.request,
      ask: ask.ask,
      engine: owned.id,
      grant,
      epoch: owned.epoch,
      bootId: state.engines.views.get(owned.id)?.bootId ?? '',
      stallMs,
    }),
  ];
}

function orderLoads(state: State, owned: OwnedEngine, engine: Engine, now: number): Effect[] {
  const wanted = owned.queue.find(({ model }) => !owned.residents.has(model));
  if (wanted === undefined || owned.loading.size > 0 || owned.unloading.size > 0) return [];
  if (owned.residents.size >= engine.slots) return orderEviction(state, owned, engine, now);
  const source = getSource(state, wanted.model);
  if (source === undefined) return [];
  if (!owned.budget.take(now)) {
    schedule(state, now + owned.budget.getWaitMs(now), { type: 'serveQueue', engine: owned.id });
    return [];
  }
  owned.loading.set(wanted.model, now);
  return [
    {
      type: 'orderEngine',
      engine: owned.id,
      address: engine.address,
      epoch: owned.epoch,
      order: { type: 'load', model: wanted.model, source },
    },
  ];
}

function orderEviction(state: State, owned: OwnedEngine, engine: Engine, now: number): Effect[] {
  const victim = getVictim(owned, now);
  if (victim === undefined || !canOrderDestructively(state, owned.id, now)) {
    schedule(state, now + MIN_RESIDENCY_MS, { type: 'serveQueue', engine: owned.id });
    return [];
  }
  owned.residents.delete(victim.model);
  owned.unloading.set(victim.model, now);
  return [
    {
      type: 'orderEngine',
      engine: owned.id,
      address: engine.address,
      epoch: owned.epoch,
      order: { type: 'unload', model: victim.model },
    },
  ];
}

/** Returns the least recently used resident that no grant pins. */
function getVictim(owned: OwnedEngine, now: number): Resident | undefined {
  const pinned = new Set([...owned.pins.values()].map((pin) => pin.model));
  return [...owned.residents.values()]
    .filter(({ model, loadedAt }) => !pinned.has(model) && loadedAt + MIN_RESIDENCY_MS <= now)
    .sort((a, b) => a.lastUsedAt - b.lastUsedAt)[0];
}

/** Returns the source of `adapter@version`, or undefined when the configuration does not have it. */
export function getSource(state: State, model: string): string | undefined {
  const [adapter = '', version = ''] = model.split('@');
  return state.configuration.adapters.get(adapter)?.versions[version]?.source;
}
