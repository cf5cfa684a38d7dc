import { getRendezvousOrder } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import type { OwnedEngine } from '../grants/types.ts';
import { UNREACHABLE_CRASH_HOLD_MS, SUSPECT_TTL_MS } from './constants.ts';
import type { Suspicion } from './types.ts';

/** Returns what is known of a fingerprint. */
export function getSuspicion(state: State, fingerprint: string): Suspicion {
  const suspect = state.suspects.byFingerprint.get(fingerprint);
  if (suspect === undefined || suspect.crashes.length === 0) return 'clear';
  return suspect.isCondemned ? 'quarantined' : 'suspect';
}

/** Returns the failure of a request that is quarantined, or undefined when it may run. */
export function getQuarantineFailure(
  state: State,
  fingerprint: string,
  mayHaveRun = false,
): Failure | undefined {
  if (getSuspicion(state, fingerprint) !== 'quarantined') return undefined;
  const message = `the request crashed engines and is quarantined as ${fingerprint}`;
  return Failure.create('request_quarantined', message, {
    outcome: mayHaveRun ? 'unknown' : 'not_run',
  });
}

/**
 * Returns the failure of a suspect that crashed an engine in a zone that this host has no link to,
 * or undefined. Without the wait each zone would lose an engine to the copies that it receives.
 */
export function getUnreachableCrashFailure(
  state: State,
  fingerprint: string,
  now: number,
  mayHaveRun: boolean,
): Failure | undefined {
  const { byFingerprint, expiresAt } = state.suspects;
  const learnedAt = (expiresAt.get(fingerprint) ?? -Infinity) - SUSPECT_TTL_MS;
  if (learnedAt + UNREACHABLE_CRASH_HOLD_MS <= now) return undefined;
  const zones = (byFingerprint.get(fingerprint)?.crashes ?? []).map((crash) => {
    return state.configuration.engines.get(crash.split('@')[0] ?? '')?.zone;
  });
  const hidden = zones.find((zone) => zone !== undefined && !canHear(state, zone));
  if (hidden === undefined) return undefined;
  const message = `the request may have crashed an engine in zone "${hidden}", which cannot be reached now`;
  return Failure.create('adapter_unavailable', message, {
    outcome: mayHaveRun ? 'unknown' : 'not_run',
  });
}

/** Whether this host is in `zone` or has a link to a host there. */
function canHear(state: State, zone: string): boolean {
  const { hosts, linkedHosts: linked } = state.membership;
  if (zone === state.host.zone) return true;
  return [...linked].some((host) => hosts.get(host)?.zone === zone);
}

/** Whether the owner may let `ask` run now: a suspect runs with no other suspect on the engine. */
export function isIsolatedFromSuspects(
  state: State,
  owned: OwnedEngine,
  { fingerprint }: { fingerprint: string },
): boolean {
  const suspicion = getSuspicion(state, fingerprint);
  if (suspicion !== 'suspect') return suspicion === 'clear';
  // Until a broken attempt is explained, it may be the one that crashed the engine.
  const broken = state.suspects.brokenAttempts.get(owned.id) ?? [];
  if (broken.some((entry) => entry.fingerprint !== fingerprint)) return false;
  return [...owned.pins.values()].every(
    (pin) => pin.fingerprint === fingerprint || getSuspicion(state, pin.fingerprint) === 'clear',
  );
}

/**
 * Returns the engine that runs a suspect: the same on all hosts, so that copies of one suspect do
 * not crash several engines at once, and not one that it crashed when there is another.
 */
export function chooseSuspectEngine(
  state: State,
  fingerprint: string,
  engines: readonly string[],
): string | undefined {
  const crashes = state.suspects.byFingerprint.get(fingerprint)?.crashes ?? [];
  const crashed = new Set(crashes.map((crash) => crash.split('@')[0]));
  const order = getRendezvousOrder(fingerprint, engines);
  return order.find((engine) => !crashed.has(engine)) ?? order[0];
}
