import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { addPin } from '../grants/pins.ts';
import type { GrantReleased, OwnedEngine } from '../grants/types.ts';
import { HANDOVER_ASK_MS, HANDOVER_KEEP_MS, LONGEST_ORDER_MS } from './constants.ts';
import { isComplete } from './holdings.ts';
import { getOwner } from './owner.ts';
import { getCurrent, getRowOwner, getSelf, isSame } from './rows.ts';
import type { Handover, Outgoing } from './types.ts';

/** Keeps the pins of the engines that the current row gives to others; call before they are dropped. */
export function captureLost(state: State, now: number): void {
  const { ownership, grants } = state;
  const current = getCurrent(ownership);
  if (current === undefined) return;
  for (const [engine, owned] of grants.owned) {
    const holding = ownership.holdings.get(engine);
    if (holding === undefined || isSame(getRowOwner(current, engine), getSelf(state))) continue;
    ownership.outgoing.set(engine, {
      handover: {
        type: 'handover',
        engine,
        epoch: current.row.epoch,
        predecessor: getSelf(state),
        isComplete: isComplete(holding, now),
        unloading: [...owned.unloading.keys()],
      },
      pins: [...owned.pins.values()],
      at: now,
      isTaken: false,
    });
    if (owned.unloading.size > 0) ownership.drainUntil = now + LONGEST_ORDER_MS;
  }
}

/** Sends the kept pins of `engines` to their owners, or all that were not taken yet. */
export function sendHandovers(state: State, now: number, engines?: string[]): Effect[] {
  const { outgoing } = state.ownership;
  const effects: Effect[] = [];
  for (const [engine, kept] of outgoing) {
    if (kept.at + HANDOVER_KEEP_MS <= now) outgoing.delete(engine);
    else if (engines?.includes(engine) ?? !kept.isTaken) effects.push(...send(state, kept, now));
  }
  return effects;
}

/** Takes pins over; passes them on when the engine has another owner by now. */
export function takeHandover(
  state: State,
  handover: Handover,
  from: string,
  now: number,
): Effect[] {
  const { ownership } = state;
  const { engine, epoch } = handover;
  const current = getCurrent(ownership);
  const owner = current === undefined ? undefined : getRowOwner(current, engine);
  if (current === undefined || current.row.epoch < epoch || owner === undefined) return [];
  if (!isSame(owner, getSelf(state))) {
    return owner.host === from ? [] : [deliver(state, owner.host, handover)];
  }
  const known = ownership.received.get(engine);
  if (known === undefined || known.epoch < epoch) {
    ownership.received.set(engine, handover);
    ownership.changedAt = now;
  }
  const holding = ownership.holdings.get(engine);
  if (holding !== undefined && isSame(holding.predecessor, handover.predecessor)) {
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
export function askForHandovers(state: State, now: number): Effect[] {
  const wanted = new Map<string, string[]>();
  for (const [engine, holding] of state.ownership.holdings) {
    const from = holding.predecessor?.host;
    if (from === undefined || isComplete(holding, now)) continue;
    if (holding.askedAt + HANDOVER_ASK_MS > now || !state.membership.linkedHosts.has(from))
      continue;
    holding.askedAt = now;
    wanted.set(from, [...(wanted.get(from) ?? []), engine]);
  }
  return [...wanted].map(([to, engines]) => deliver(state, to, { type: 'handoverAsked', engines }));
}

/** Passes the end of a grant on to the owner that the pin was handed over to. */
export function forwardRelease(state: State, released: GrantReleased, from: string): Effect[] {
  const owner = getOwner(state, released.engine);
  if (owner === undefined || owner.host === state.host.id || owner.host === from) return [];
  return state.ownership.outgoing.has(released.engine)
    ? [deliver(state, owner.host, released)]
    : [];
}

function send(state: State, kept: Outgoing, now: number): Effect[] {
  const current = getCurrent(state.ownership);
  const owner = current === undefined ? undefined : getRowOwner(current, kept.handover.engine);
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
  schedule(state, now + LONGEST_ORDER_MS, {
    type: 'handedOrderExpiry',
    engine: owned.id,
    model,
    at: now,
  });
}
