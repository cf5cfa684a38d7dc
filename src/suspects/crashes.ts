import { getStampHour } from '../actions/rows.ts';
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
import { publishSuspect } from './suspectRows.ts';
import type { EngineRun, Suspect } from './types.ts';

/** Remembers an attempt that broke on an engine, in case the engine turns out to have crashed. */
export function recordBrokenEngineAttempt(
  state: State,
  engine: string,
  culprit: EngineRun,
  now: number,
): void {
  const known = state.suspects.brokenAttempts.get(engine) ?? [];
  const recent = known.filter(({ at }) => at + BROKEN_ATTEMPT_TTL_MS > now);
  const { fingerprint, bootId } = culprit;
  state.suspects.brokenAttempts.set(engine, [...recent, { fingerprint, bootId, at: now }]);
}

/** Takes over how a granted attempt ended; a late "completed" clears a pin that was blamed. */
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

/** Checks the boot id of a report against what ran; call before the report is taken over. */
export function updateSuspectsOnReport(
  state: State,
  engine: string,
  bootId: string,
  now: number,
): Effect[] {
  const known = state.engines.views.get(engine)?.bootId ?? '';
  const isDown = state.suspects.downEngines.delete(engine);
  if (known !== '' && known !== bootId && !isDown) blamePinsLater(state, engine, known, now);
  const broken = state.suspects.brokenAttempts.get(engine) ?? [];
  const crashed = broken.filter((entry) => entry.bootId !== '' && entry.bootId !== bootId);
  // A report may have left the engine before the attempt broke, so it clears older ones only.
  const open = broken.filter(
    (entry) => !crashed.includes(entry) && entry.at + BROKEN_ATTEMPT_MIN_CLEAR_AGE_MS > now,
  );
  if (open.length > 0) state.suspects.brokenAttempts.set(engine, open);
  else state.suspects.brokenAttempts.delete(engine);
  return recordCrash(state, engine, crashed, now);
}

/** Takes a refused connection as a crash of what broke on the engine. */
export function updateSuspectsOnRefusedConnection(
  state: State,
  engine: string,
  now: number,
): Effect[] {
  const { brokenAttempts: broken, downEngines: down } = state.suspects;
  const known = state.engines.views.get(engine)?.bootId ?? '';
  if (!down.has(engine)) blamePinsLater(state, engine, known, now);
  down.add(engine);
  const crashed = broken.get(engine) ?? [];
  broken.delete(engine);
  return recordCrash(state, engine, crashed, now);
}

/**
 * Blames the grants whose hosts did not say how their attempts ended. All others were released as
 * crashed, or as unused when the engine was down already.
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
 * Blames everything that ran on a crashed engine. The one that was a suspect before, when there is
 * exactly one, is quarantined; all others become suspects.
 */
export function recordCrash(
  state: State,
  engine: string,
  pins: readonly EngineRun[],
  now: number,
): Effect[] {
  if (pins.length === 0) return [];
  const { byFingerprint } = state.suspects;
  const view = state.engines.views.get(engine)?.bootId ?? '';
  const crashes = new Map(
    pins.map(({ fingerprint, bootId = view }) => [fingerprint, `${engine}@${bootId}`]),
  );
  const earlier = [...crashes].filter(([fingerprint, crash]) =>
    byFingerprint.get(fingerprint)?.crashes.some((known) => !isSameCrash(known, crash)),
  );
  const culprit = earlier.length === 1 ? earlier[0]?.[0] : undefined;
  const effects = [...crashes].flatMap(([fingerprint, crash]) => {
    const known = byFingerprint.get(fingerprint) ?? newSuspect(fingerprint);
    const counted = [...known.crashes, ...known.cleared];
    const isCounted = counted.some((other) => isSameCrash(other, crash));
    const next: Suspect = {
      ...known,
      crashes: isCounted
        ? known.crashes
        : [...known.crashes, crash].slice(-MAX_CRASHES_PER_SUSPECT).sort(),
      isCondemned: known.isCondemned || culprit === fingerprint,
      hour: Math.max(known.hour, getStampHour(state, now) ?? -1),
    };
    return publishSuspect(state, next, now);
  });
  const fields = { engine, suspects: crashes.size, quarantined: culprit };
  return [newLog('warn', 'engine crashed under requests', fields), ...effects];
}

/** Clears a suspect whose request completed; one that is quarantined stays so. */
export function clearSuspectOnCompletion(state: State, fingerprint: string, now: number): Effect[] {
  const known = state.suspects.byFingerprint.get(fingerprint);
  if (known === undefined || known.crashes.length === 0 || known.isCondemned) return [];
  return clearSuspect(state, fingerprint, now);
}

/** Clears a suspect, quarantined or not, as an operator may ask. */
export function clearSuspect(state: State, fingerprint: string, now: number): Effect[] {
  const known = state.suspects.byFingerprint.get(fingerprint);
  if (known === undefined) return [];
  const { generation, hour } = known;
  const cleared = [...known.cleared, ...known.crashes].slice(-MAX_CRASHES_PER_SUSPECT);
  const next = { ...newSuspect(fingerprint), generation: generation + 1, cleared, hour };
  return publishSuspect(state, next, now);
}

function newSuspect(fingerprint: string): Suspect {
  return { fingerprint, generation: 0, crashes: [], cleared: [], isCondemned: false, hour: -1 };
}

/** An observer that had no report of the engine yet does not know its boot id. */
function isSameCrash(a: string, b: string): boolean {
  const [engineA, bootA = ''] = a.split('@');
  const [engineB, bootB = ''] = b.split('@');
  return engineA === engineB && (bootA === bootB || bootA === '' || bootB === '');
}

function blamePinsLater(state: State, engine: string, bootId: string, now: number): void {
  if (!state.grants.owned.has(engine)) return;
  schedule(state, now + GRANT_RELEASE_TIMEOUT_MS, {
    type: 'attributeCrashToPins',
    engine,
    bootId,
    before: now,
  });
}
