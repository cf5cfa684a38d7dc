import { getFreshRetentionHour } from '../actions/actionRows.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import {
  BROKEN_ATTEMPT_TTL_MS,
  MAX_CRASHES_PER_SUSPECT,
  BROKEN_ATTEMPT_MIN_CLEAR_AGE_MS,
  GRANT_RELEASE_TIMEOUT_MS,
} from './constants.ts';
import { newClearedSuspect, newSuspect } from './mergeSuspects.ts';
import { publishSuspect } from './suspectRows.ts';
import type { EngineRun, Suspect } from './types.ts';

/** Records a broken attempt, in case its engine turns out to have crashed. */
export function recordBrokenEngineAttempt(
  state: State,
  engine: string,
  run: EngineRun,
  now: number,
): void {
  const known = state.suspects.brokenAttempts.get(engine) ?? [];
  const recent = known.filter(({ at }) => at + BROKEN_ATTEMPT_TTL_MS > now);
  const { fingerprint, bootId } = run;
  state.suspects.brokenAttempts.set(engine, [...recent, { fingerprint, bootId, at: now }]);
}

/**
 * Records a broken attempt when a grant is released as crashed. A release as completed clears the
 * suspect, since a crash may have been attributed to a pin whose release came late.
 */
export function updateSuspectsOnRelease(
  state: State,
  engine: string,
  pin: EngineRun | undefined,
  { result, bootId = '' }: { result: string; bootId?: string },
  now: number,
): Effect[] {
  if (pin === undefined) return [];
  if (result === 'crashed')
    recordBrokenEngineAttempt(state, engine, { fingerprint: pin.fingerprint, bootId }, now);
  return result === 'completed' ? clearSuspectOnCompletion(state, pin.fingerprint, now) : [];
}

/** Detects a crash from a report's boot id; must be called before the report is applied. */
export function updateSuspectsOnReport(
  state: State,
  engine: string,
  bootId: string,
  now: number,
): Effect[] {
  const lastBootId = state.engines.views.get(engine)?.bootId ?? '';
  const isDown = state.suspects.downEngines.delete(engine);
  if (lastBootId !== '' && lastBootId !== bootId && !isDown)
    scheduleCrashAttribution(state, engine, lastBootId, now);
  const broken = state.suspects.brokenAttempts.get(engine) ?? [];
  const crashed = broken.filter((entry) => entry.bootId !== '' && entry.bootId !== bootId);
  // The engine may have sent the report before the attempt broke, so it clears only older attempts.
  const unresolved = broken.filter(
    (entry) => !crashed.includes(entry) && entry.at + BROKEN_ATTEMPT_MIN_CLEAR_AGE_MS > now,
  );
  if (unresolved.length > 0) state.suspects.brokenAttempts.set(engine, unresolved);
  else state.suspects.brokenAttempts.delete(engine);
  return recordCrash(state, engine, crashed, now);
}

/** Treats a refused connection as a crash and attributes it to the engine's broken attempts. */
export function updateSuspectsOnRefusedConnection(
  state: State,
  engine: string,
  now: number,
): Effect[] {
  const { brokenAttempts, downEngines } = state.suspects;
  const lastBootId = state.engines.views.get(engine)?.bootId ?? '';
  if (!downEngines.has(engine)) scheduleCrashAttribution(state, engine, lastBootId, now);
  downEngines.add(engine);
  const crashed = brokenAttempts.get(engine) ?? [];
  brokenAttempts.delete(engine);
  return recordCrash(state, engine, crashed, now);
}

/**
 * Attributes a crash to the grants that were not released within the timeout. The others were
 * released as crashed, or as unused when the engine was already down.
 */
export function attributeCrashToPins(
  state: State,
  { engine, bootId, before }: { engine: string; bootId: string; before: number },
  now: number,
): Effect[] {
  const pins = [...(state.grants.owned.get(engine)?.pins.values() ?? [])]
    .filter((pin) => pin.grantedAt < before && !state.suspects.attributedPins.has(pin))
    .map((pin) => {
      state.suspects.attributedPins.add(pin);
      return { fingerprint: pin.fingerprint, bootId };
    });
  return recordCrash(state, engine, pins, now);
}

/**
 * Attributes a crash to all requests that ran on the engine. They become suspects; if exactly one
 * of them was a suspect of another crash before, that one is quarantined.
 */
export function recordCrash(
  state: State,
  engine: string,
  runs: readonly EngineRun[],
  now: number,
): Effect[] {
  if (runs.length === 0) return [];
  const { byFingerprint } = state.suspects;
  const lastBootId = state.engines.views.get(engine)?.bootId ?? '';
  const crashes = new Map(
    runs.map(({ fingerprint, bootId = lastBootId }) => [fingerprint, `${engine}@${bootId}`]),
  );
  const earlier = [...crashes].filter(([fingerprint, crash]) =>
    byFingerprint.get(fingerprint)?.crashes.some((known) => !isSameCrash(known, crash)),
  );
  const quarantined = earlier.length === 1 ? earlier[0]?.[0] : undefined;
  const effects = [...crashes].flatMap(([fingerprint, crash]) => {
    const suspect = byFingerprint.get(fingerprint) ?? newSuspect(fingerprint);
    const counted = [...suspect.crashes, ...suspect.cleared];
    const isCounted = counted.some((other) => isSameCrash(other, crash));
    const next: Suspect = {
      ...suspect,
      crashes: isCounted
        ? suspect.crashes
        : [...suspect.crashes, crash].slice(-MAX_CRASHES_PER_SUSPECT).sort(),
      isCondemned: suspect.isCondemned || quarantined === fingerprint,
      hour: Math.max(suspect.hour, getFreshRetentionHour(state, now) ?? -1),
    };
    return publishSuspect(state, next, now);
  });
  const fields = { engine, suspects: crashes.size, quarantined };
  return [newLog('warn', 'engine crashed while running requests', fields), ...effects];
}

/** Clears a suspect whose request completed; a quarantined one stays quarantined. */
export function clearSuspectOnCompletion(state: State, fingerprint: string, now: number): Effect[] {
  const known = state.suspects.byFingerprint.get(fingerprint);
  if (known === undefined || known.crashes.length === 0 || known.isCondemned) return [];
  return clearSuspect(state, fingerprint, now);
}

/** Clears a suspect, also a quarantined one; operators can request it. */
export function clearSuspect(state: State, fingerprint: string, now: number): Effect[] {
  const known = state.suspects.byFingerprint.get(fingerprint);
  if (known === undefined) return [];
  return publishSuspect(state, newClearedSuspect(known), now);
}

/** An empty boot id matches any: the reporting host had no report of the engine yet. */
function isSameCrash(a: string, b: string): boolean {
  const [engineA, bootA = ''] = a.split('@');
  const [engineB, bootB = ''] = b.split('@');
  return engineA === engineB && (bootA === bootB || bootA === '' || bootB === '');
}

function scheduleCrashAttribution(state: State, engine: string, bootId: string, now: number): void {
  if (!state.grants.owned.has(engine)) return;
  schedule(state, now + GRANT_RELEASE_TIMEOUT_MS, {
    type: 'attributeCrashToPins',
    engine,
    bootId,
    before: now,
  });
}
