import { deliver } from '../core/deliver.ts';
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

/** Keeps the pins of the engines that the current row gives to others; call before they are dropped. */
export function captureHandovers(state: State, now: number): void {
  const { ownership, grants } = state;
  const current = getCurrentZoneRow(ownership);
  if (current === undefined) return;
  for (const [engine, owned] of grants.owned) {
    const holding = ownership.acquiredEngines.get(engine);
    if (
      holding === undefined ||
      isSameMember(getZoneRowOwner(current, engine), getSelfMember(state))
    )
      continue;
    ownership.outgoingHandovers.set(engine, {
      handover: {
        type: 'handover',
        engine,
        epoch: current.row.epoch,
        predecessor: getSelfMember(state),
        isComplete: isTakeoverComplete(holding, now),
        unloading: [...owned.unloading.keys()],
      },
      pins: [...owned.pins.values()],
      capturedAt: now,
      isAcknowledged: false,
    });
    if (owned.unloading.size > 0) ownership.unloadsInFlightUntil = now + MAX_ORDER_MS;
  }
}

/** Sends the kept pins of `engines` to their owners, or all that were not taken yet. */
export function sendHandovers(state: State, now: number, engines?: string[]): Effect[] {
  const { outgoingHandovers: outgoing } = state.ownership;
  const effects: Effect[] = [];
  for (const [engine, kept] of outgoing) {
    if (kept.capturedAt + HANDOVER_RETENTION_MS <= now) outgoing.delete(engine);
    else if (engines?.includes(engine) ?? !kept.isAcknowledged)
      effects.push(...send(state, kept, now));
  }
  return effects;
}

/** Takes pins over; passes them on when the engine has another owner by now. */
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
    return owner.host === from ? [] : [deliver(state, owner.host, handover)];
  }
  const known = ownership.receivedHandovers.get(engine);
  if (known === undefined || known.epoch < epoch) {
    ownership.receivedHandovers.set(engine, handover);
    ownership.changedAt = now;
  }
  const holding = ownership.acquiredEngines.get(engine);
  if (holding !== undefined && isSameMember(holding.predecessor, handover.predecessor)) {
    if (epoch >= holding.epoch && handover.isComplete) holding.isHandedOver = true;
  }
  return [deliver(state, from, { type: 'handoverTaken', engine })];
}

/** Installs the pins and the orders in flight of a handover into the owned engine. */
export function installHandover(state: State, handover: Handover, now: number): void {
  const owned = state.grants.owned.get(handover.engine);
  if (owned === undefined) return;
  for (const { remainingMs, ...pin } of handover.pins) {
    if (owned.pins.has(pin.grant)) continue;
    const expiresAt = now + remainingMs;
    addPin(owned, { ...pin, grantedAt: now, expiresAt });
    schedule(state, expiresAt, { type: 'pinExpiry', engine: owned.id, grant: pin.grant });
  }
  for (const model of handover.unloading) holdUnloading(state, owned, model, now);
}

/** Asks the predecessors for handovers that have not arrived. */
export function requestHandovers(state: State, now: number): Effect[] {
  const wanted = new Map<string, string[]>();
  for (const [engine, holding] of state.ownership.acquiredEngines) {
    const from = holding.predecessor?.host;
    if (from === undefined || isTakeoverComplete(holding, now)) continue;
    if (
      holding.handoverRequestedAt + HANDOVER_REQUEST_INTERVAL_MS > now ||
      !state.membership.linkedHosts.has(from)
    )
      continue;
    holding.handoverRequestedAt = now;
    wanted.set(from, [...(wanted.get(from) ?? []), engine]);
  }
  return [...wanted].map(([to, engines]) => deliver(state, to, { type: 'handoverAsked', engines }));
}

/** Passes the end of a grant on to the owner that the pin was handed over to. */
export function forwardGrantRelease(state: State, released: GrantReleased, from: string): Effect[] {
  const owner = getActingOwner(state, released.engine);
  if (owner === undefined || owner.host === state.host.id || owner.host === from) return [];
  return state.ownership.outgoingHandovers.has(released.engine)
    ? [deliver(state, owner.host, released)]
    : [];
}

function send(state: State, kept: OutgoingHandover, now: number): Effect[] {
  const current = getCurrentZoneRow(state.ownership);
  const owner = current === undefined ? undefined : getZoneRowOwner(current, kept.handover.engine);
  if (owner === undefined || owner.host === state.host.id) return [];
  const pins = kept.pins
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
  return [deliver(state, owner.host, { ...kept.handover, pins })];
}

/** An adapter that the predecessor is unloading counts as absent until the order cannot run. */
function holdUnloading(state: State, owned: OwnedEngine, model: string, now: number): void {
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
