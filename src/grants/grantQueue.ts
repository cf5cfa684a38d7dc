import type { Effect } from '../core/effects.ts';
import { deliver } from '../core/deliver.ts';
import { newCount } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { updateLoad } from '../engines/views.ts';
import { isEndpointLeaving } from '../membership/endpoints.ts';
import { ENGINE_CANCEL_TIMEOUT_MS } from './constants.ts';
import { orderNextLoad } from './engineOrders.ts';
import { addPin } from './pins.ts';
import { canGrant, sortGrantQueue } from './grantPriority.ts';
import type { OwnedEngine, Pin, QueuedGrantRequest, RefusalReason } from './types.ts';
import { isIsolatedFromSuspects, getSuspicion } from '../suspects/suspicion.ts';

/** Grants what can run now and orders the loads that the others wait for. */
export function serveQueue(state: State, owned: OwnedEngine, now: number): Effect[] {
  const engine = state.configuration.engines.get(owned.id);
  if (engine === undefined) return [];
  const effects: Effect[] = [];
  const refusal = getQueueRefusal(state, owned);
  if (refusal !== undefined) effects.push(...refuseQueue(state, owned, refusal));
  sortGrantQueue(state, owned, engine, now);
  const left: QueuedGrantRequest[] = [];
  for (const ask of owned.queue) {
    if (ask.arrivedAt + ask.remainingMs <= now) continue;
    if (getSuspicion(state, ask.fingerprint) === 'quarantined') {
      effects.push(...refuseGrant(state, ask, 'suspect'));
    } else if (canGrant(state, owned, engine, ask) && isIsolatedFromSuspects(state, owned, ask)) {
      effects.push(...giveGrant(state, owned, ask, now));
    } else {
      left.push(ask);
    }
  }
  owned.queue = left;
  if (refusal === undefined) effects.push(...orderNextLoad(state, owned, engine, now));
  updateLoad(state.engines, owned.id, owned.pins.size, owned.queue.length);
  return effects;
}

/** Why an engine takes no asks at all; undefined when it does. */
export function getQueueRefusal(state: State, owned: OwnedEngine): RefusalReason | undefined {
  const view = state.engines.views.get(owned.id)?.state;
  if (isEndpointLeaving(state, owned.id) || view === 'leaving') return 'leaving';
  if (view === 'unreachable') return 'unreachable';
  return owned.isRoleChanging ? 'full' : undefined;
}

/** Refuses every waiting ask, so that the askers go elsewhere. */
export function refuseQueue(state: State, owned: OwnedEngine, reason: RefusalReason): Effect[] {
  const refused = owned.queue;
  owned.queue = [];
  return refused.flatMap((ask) => refuseGrant(state, ask, reason));
}

/** Drops the waiting asks of a host whose link closed; it places them anew. */
export function dropQueuedRequestsOfHost(state: State, host: string, now: number): Effect[] {
  const effects: Effect[] = [];
  for (const owned of state.grants.owned.values()) {
    if (!owned.queue.some(({ from }) => from === host)) continue;
    owned.queue = owned.queue.filter(({ from }) => from !== host);
    effects.push(...serveQueue(state, owned, now));
  }
  return effects;
}

/** Returns the message that refuses `ask`. */
export function refuseGrant(
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

/** Sends a grant again to a host that asked again; its first message may have been lost. */
export function resendGrant(
  state: State,
  owned: OwnedEngine,
  { from, request, ask }: { from: string; request: string; ask: number },
  { grant }: Pin,
): Effect[] {
  const { id: engine, epoch } = owned;
  const bootId = getBootId(state, engine);
  return [
    deliver(state, from, {
      type: 'grantGiven',
      request,
      ask,
      engine,
      grant,
      epoch,
      bootId,
      stallMs: 0,
    }),
  ];
}

function getBootId(state: State, engine: string): string {
  return state.engines.views.get(engine)?.bootId ?? '';
}

function giveGrant(
  state: State,
  owned: OwnedEngine,
  ask: QueuedGrantRequest,
  now: number,
): Effect[] {
  const grant = `${state.host.id}-${state.random.getHex(8)}`;
  const expiresAt = ask.arrivedAt + ask.remainingMs + ENGINE_CANCEL_TIMEOUT_MS;
  addPin(owned, {
    grant,
    request: ask.request,
    ask: ask.ask,
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
      bootId: getBootId(state, owned.id),
      stallMs,
    }),
  ];
}
