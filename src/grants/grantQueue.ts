import type { Effect } from '../core/effects.ts';
import { sendMessage } from '../core/sendMessage.ts';
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
import { canRunBesideSuspects, getSuspicion } from '../suspects/suspicion.ts';

/** Grants the queued requests that can run now and orders the next load for the others. */
export function serveQueue(state: State, owned: OwnedEngine, now: number): Effect[] {
  const engine = state.configuration.engines.get(owned.id);
  if (engine === undefined) return [];
  const effects: Effect[] = [];
  const refusal = getQueueRefusal(state, owned);
  if (refusal !== undefined) effects.push(...refuseQueue(state, owned, refusal));
  sortGrantQueue(state, owned, engine, now);
  const remaining: QueuedGrantRequest[] = [];
  for (const queued of owned.queue) {
    if (queued.arrivedAt + queued.remainingMs <= now) continue;
    if (getSuspicion(state, queued.fingerprint) === 'quarantined') {
      effects.push(...refuseGrant(state, queued, 'suspect'));
    } else if (
      canGrant(state, owned, engine, queued) &&
      canRunBesideSuspects(state, owned, queued)
    ) {
      effects.push(...issueGrant(state, owned, queued, now));
    } else {
      remaining.push(queued);
    }
  }
  owned.queue = remaining;
  if (refusal === undefined) effects.push(...orderNextLoad(state, owned, engine, now));
  updateLoad(state.engines, owned.id, owned.pins.size, owned.queue.length);
  return effects;
}

/** Returns the reason to refuse all requests of an engine, or undefined if it accepts them. */
export function getQueueRefusal(state: State, owned: OwnedEngine): RefusalReason | undefined {
  const engineState = state.engines.views.get(owned.id)?.state;
  if (isEndpointLeaving(state, owned.id) || engineState === 'leaving') return 'leaving';
  if (engineState === 'unreachable') return 'unreachable';
  return owned.isRoleChanging ? 'full' : undefined;
}

/** Refuses all queued requests, so that their hosts choose other engines. */
export function refuseQueue(state: State, owned: OwnedEngine, reason: RefusalReason): Effect[] {
  const refused = owned.queue;
  owned.queue = [];
  return refused.flatMap((queued) => refuseGrant(state, queued, reason));
}

/** Drops the queued requests of a host whose link closed; that host requests grants elsewhere. */
export function dropQueuedRequestsOfHost(state: State, host: string, now: number): Effect[] {
  const effects: Effect[] = [];
  for (const owned of state.grants.owned.values()) {
    if (!owned.queue.some(({ from }) => from === host)) continue;
    owned.queue = owned.queue.filter(({ from }) => from !== host);
    effects.push(...serveQueue(state, owned, now));
  }
  return effects;
}

/** Returns the refusal of a grant request and its count. */
export function refuseGrant(
  state: State,
  grantRequest: { from: string; request: string; ask: number; engine: string },
  reason: RefusalReason,
): Effect[] {
  const { request, engine } = grantRequest;
  return [
    newCount('fireflywick_decisions_total', { decision: 'refused', reason }),
    sendMessage(state, grantRequest.from, {
      type: 'grantRefused',
      request,
      ask: grantRequest.ask,
      engine,
      reason,
    }),
  ];
}

/** Sends a grant again after a repeated request; the first message may have been lost. */
export function resendGrant(
  state: State,
  owned: OwnedEngine,
  { from, request, ask }: { from: string; request: string; ask: number },
  { grant }: Pin,
): Effect[] {
  const { id: engine, epoch } = owned;
  const bootId = getBootId(state, engine);
  return [
    sendMessage(state, from, {
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

function issueGrant(
  state: State,
  owned: OwnedEngine,
  queued: QueuedGrantRequest,
  now: number,
): Effect[] {
  const grant = `${state.host.id}-${state.random.getHex(8)}`;
  const expiresAt = queued.arrivedAt + queued.remainingMs + ENGINE_CANCEL_TIMEOUT_MS;
  addPin(owned, {
    grant,
    request: queued.request,
    ask: queued.ask,
    host: queued.from,
    model: queued.model,
    firm: queued.firm,
    fingerprint: queued.fingerprint,
    grantedAt: now,
    expiresAt,
  });
  const resident = owned.residents.get(queued.model);
  if (resident !== undefined) resident.lastUsedAt = now;
  schedule(state, expiresAt, { type: 'pinExpiry', engine: owned.id, grant });
  const stallMs = queued.residentAt === undefined ? 0 : queued.residentAt - queued.arrivedAt;
  return [
    sendMessage(state, queued.from, {
      type: 'grantGiven',
      request: queued.request,
      ask: queued.ask,
      engine: owned.id,
      grant,
      epoch: owned.epoch,
      bootId: getBootId(state, owned.id),
      stallMs,
    }),
  ];
}
