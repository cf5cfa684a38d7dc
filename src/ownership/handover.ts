import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { addPin } from '../grants/pins.ts';
import type { GrantReleased, OwnedEngine } from '../grants/types.ts';
import { HANDOVER_REQUEST_INTERVAL_MS, HANDOVER_RETENTION_MS, MAX_ORDER_MS } from './constants.ts';
import { isTakeoverComplete } from './acquiredEngines.ts';
import { getActingOwner } from './owner.ts';
import { getCurrentZoneRow, getZoneRowOwner, getSelfMember, isSameMember } from './rows.ts';
import type { Handover, OutgoingHandover } from './types.ts';

/**
 * Captures the pins of the engines that the current row assigns to other hosts. Call before these
 * engines are dropped.
 */
export function captureHandovers(state: State, now: number): void {
  const { ownership, grants } = state;
  const current = getCurrentZoneRow(ownership);
  if (current === undefined) return;
  for (const [engine, owned] of grants.owned) {
    const acquired = ownership.acquiredEngines.get(engine);
    if (
      acquired === undefined ||
      isSameMember(getZoneRowOwner(current, engine), getSelfMember(state))
    )
      continue;
    ownership.outgoingHandovers.set(engine, {
      handover: {
        type: 'handover',
        engine,
        epoch: current.row.epoch,
        predecessor: getSelfMember(state),
        isComplete: isTakeoverComplete(acquired, now),
        unloading: [...owned.unloading.keys()],
      },
      pins: [...owned.pins.values()],
      capturedAt: now,
      isAcknowledged: false,
    });
    if (owned.unloading.size > 0) ownership.unloadsInFlightUntil = now + MAX_ORDER_MS;
  }
}

/** Sends the outgoing handovers of `engines`, by default all unacknowledged ones, to the owners. */
export function sendHandovers(state: State, now: number, engines?: string[]): Effect[] {
  const { outgoingHandovers } = state.ownership;
  const effects: Effect[] = [];
  for (const [engine, outgoing] of outgoingHandovers) {
    if (outgoing.capturedAt + HANDOVER_RETENTION_MS <= now) outgoingHandovers.delete(engine);
    else if (engines?.includes(engine) ?? !outgoing.isAcknowledged)
      effects.push(...sendHandover(state, outgoing, now));
  }
  return effects;
}

/** Accepts and acknowledges a handover, or forwards it if another host owns the engine by now. */
export function acceptHandover(
  state: State,
  handover: Handover,
  from: string,
  now: number,
): Effect[] {
  const { ownership } = state;
  const { engine, epoch } = handover;
  const current = getCurrentZoneRow(ownership);
  const owner = current === undefined ? undefined : getZoneRowOwner(current, engine);
  if (current === undefined || current.row.epoch < epoch || owner === undefined) return [];
  if (!isSameMember(owner, getSelfMember(state))) {
    return owner.host === from ? [] : [sendMessage(state, owner.host, handover)];
  }
  const known = ownership.receivedHandovers.get(engine);
  if (known === undefined || known.epoch < epoch) {
    ownership.receivedHandovers.set(engine, handover);
    ownership.changedAt = now;
  }
  const acquired = ownership.acquiredEngines.get(engine);
  if (acquired !== undefined && isSameMember(acquired.predecessor, handover.predecessor)) {
    if (epoch >= acquired.epoch && handover.isComplete) acquired.isHandedOver = true;
  }
  return [sendMessage(state, from, { type: 'handoverTaken', engine })];
}

/** Adds the pins and the unload orders in flight of a handover to the owned engine. */
export function installHandover(state: State, handover: Handover, now: number): void {
  const owned = state.grants.owned.get(handover.engine);
  if (owned === undefined) return;
  for (const { remainingMs, ...pin } of handover.pins) {
    if (owned.pins.has(pin.grant)) continue;
    const expiresAt = now + remainingMs;
    addPin(owned, { ...pin, grantedAt: now, expiresAt });
    schedule(state, expiresAt, { type: 'pinExpiry', engine: owned.id, grant: pin.grant });
  }
  for (const model of handover.unloading) markUnloading(state, owned, model, now);
}

/** Requests missing handovers from the predecessors. */
export function requestHandovers(state: State, now: number): Effect[] {
  const enginesByHost = new Map<string, string[]>();
  for (const [engine, acquired] of state.ownership.acquiredEngines) {
    const from = acquired.predecessor?.host;
    if (from === undefined || isTakeoverComplete(acquired, now)) continue;
    if (
      acquired.handoverRequestedAt + HANDOVER_REQUEST_INTERVAL_MS > now ||
      !state.membership.linkedHosts.has(from)
    )
      continue;
    acquired.handoverRequestedAt = now;
    enginesByHost.set(from, [...(enginesByHost.get(from) ?? []), engine]);
  }
  return [...enginesByHost].map(([to, engines]) =>
    sendMessage(state, to, { type: 'handoverAsked', engines }),
  );
}

/** Forwards the release of a grant to the owner that received its pin in a handover. */
export function forwardGrantRelease(state: State, released: GrantReleased, from: string): Effect[] {
  const owner = getActingOwner(state, released.engine);
  if (owner === undefined || owner.host === state.host.id || owner.host === from) return [];
  return state.ownership.outgoingHandovers.has(released.engine)
    ? [sendMessage(state, owner.host, released)]
    : [];
}

function sendHandover(state: State, outgoing: OutgoingHandover, now: number): Effect[] {
  const current = getCurrentZoneRow(state.ownership);
  const owner =
    current === undefined ? undefined : getZoneRowOwner(current, outgoing.handover.engine);
  if (owner === undefined || owner.host === state.host.id) return [];
  const pins = outgoing.pins
    .filter(({ expiresAt }) => expiresAt > now)
    .map(({ grant, request, host, model, firm, fingerprint, expiresAt }) => ({
      grant,
      request,
      host,
      model,
      firm,
      fingerprint,
      remainingMs: expiresAt - now,
    }));
  return [sendMessage(state, owner.host, { ...outgoing.handover, pins })];
}

/** Treats an adapter that the predecessor is unloading as absent for the longest order duration. */
function markUnloading(state: State, owned: OwnedEngine, model: string, now: number): void {
  if (owned.unloading.has(model)) return;
  owned.residents.delete(model);
  owned.unloading.set(model, now);
  schedule(state, now + MAX_ORDER_MS, {
    type: 'inheritedUnloadExpiry',
    engine: owned.id,
    model,
    at: now,
  });
}
