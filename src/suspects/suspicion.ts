import { getRendezvousOrder } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import type { OwnedEngine } from '../grants/types.ts';
import { UNREACHABLE_CRASH_HOLD_MS } from './constants.ts';
import { getSuspectChangedAt, isQuarantined } from './quarantine.ts';
import type { Suspicion } from './types.ts';

/** Returns whether the requests of a fingerprint are clear, suspects or quarantined. */
export function getSuspicion(state: State, fingerprint: string): Suspicion {
  if (!state.suspects.active.has(fingerprint)) return 'clear';
  return isQuarantined(state, fingerprint, state.now) ? 'quarantined' : 'suspect';
}

/** Returns the failure of a quarantined request, or undefined when it is not quarantined. */
export function getQuarantineFailure(
  state: State,
  fingerprint: string,
  mayHaveRun = false,
): Failure | undefined {
  if (getSuspicion(state, fingerprint) !== 'quarantined') return undefined;
  const message = `the request crashed engines; it is quarantined under fingerprint ${fingerprint}`;
  return Failure.create('request_quarantined', message, {
    outcome: mayHaveRun ? 'unknown' : 'not_run',
  });
}

/**
 * Returns the failure of a suspect with a recent crash in a zone to which this host has no link, or
 * undefined. Without this hold, each zone would lose an engine to its copies of the request.
 */
export function getUnreachableCrashFailure(
  state: State,
  fingerprint: string,
  now: number,
  mayHaveRun: boolean,
): Failure | undefined {
  const { byAttribute } = state.suspects;
  const changedAt = getSuspectChangedAt(state, fingerprint);
  if (changedAt + UNREACHABLE_CRASH_HOLD_MS <= now) return undefined;
  const zones = (byAttribute.get(fingerprint)?.crashes ?? []).map((crash) => {
    return state.configuration.engines.get(crash.split('@')[0] ?? '')?.zone;
  });
  const unreachableZone = zones.find((zone) => zone !== undefined && !hasLinkToZone(state, zone));
  if (unreachableZone === undefined) return undefined;
  const message = `the request may have crashed an engine in zone "${unreachableZone}", which is currently unreachable`;
  return Failure.create('adapter_unavailable', message, {
    outcome: mayHaveRun ? 'unknown' : 'not_run',
  });
}

/** Whether `zone` is this host's zone or has a host linked to this one. */
function hasLinkToZone(state: State, zone: string): boolean {
  const { hosts, linkedHosts } = state.membership;
  if (zone === state.host.zone) return true;
  return [...linkedHosts].some((host) => hosts.get(host)?.zone === zone);
}

/**
 * Whether a request may run now beside the suspects on the engine: a clear request always may, a
 * suspect never beside another suspect, and a quarantined request never.
 */
export function canRunBesideSuspects(
  state: State,
  owned: OwnedEngine,
  { fingerprint }: { fingerprint: string },
): boolean {
  const suspicion = getSuspicion(state, fingerprint);
  if (suspicion !== 'suspect') return suspicion === 'clear';
  // Until its cause is known, a broken attempt may be the one that crashed the engine.
  const broken = state.suspects.brokenAttempts.get(owned.id) ?? [];
  if (broken.some((entry) => entry.fingerprint !== fingerprint)) return false;
  return [...owned.pins.values()].every(
    (pin) => pin.fingerprint === fingerprint || getSuspicion(state, pin.fingerprint) === 'clear',
  );
}

/**
 * Returns the engine that runs a suspect. All hosts choose the same one, so that copies of a
 * request do not crash several engines at once; an engine that it crashed is the last resort.
 */
export function chooseSuspectEngine(
  state: State,
  fingerprint: string,
  engines: readonly string[],
): string | undefined {
  const crashes = state.suspects.byAttribute.get(fingerprint)?.crashes ?? [];
  const crashed = new Set(crashes.map((crash) => crash.split('@')[0]));
  const order = getRendezvousOrder(fingerprint, engines);
  return order.find((engine) => !crashed.has(engine)) ?? order[0];
}
