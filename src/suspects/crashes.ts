import { getFreshRetentionHour } from '../actions/actionRows.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { isSharedAttribute } from './attributes.ts';
import {
  BROKEN_ATTEMPT_TTL_MS,
  MAX_CRASHES_PER_SUSPECT,
  MAX_SUSPECT_REQUESTS,
  BROKEN_ATTEMPT_MIN_CLEAR_AGE_MS,
  GRANT_RELEASE_TIMEOUT_MS,
} from './constants.ts';
import { getCountedCrashes, newClearedSuspect, newSuspect } from './mergeSuspects.ts';
import { publishSuspects, updateSuspects } from './suspectReports.ts';
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
  return result === 'completed' ? recordCompletion(state, [pin.fingerprint], now) : [];
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
  const { byAttribute } = state.suspects;
  const lastBootId = state.engines.views.get(engine)?.bootId ?? '';
  const crashes = new Map(
    runs.map(({ fingerprint, bootId = lastBootId }) => [fingerprint, `${engine}@${bootId}`]),
  );
  const earlier = [...crashes].filter(([fingerprint, crash]) =>
    byAttribute.get(fingerprint)?.crashes.some((known) => !isSameCrash(known, crash)),
  );
  const quarantined = earlier.length === 1 ? earlier[0]?.[0] : undefined;
  const suspects = [...crashes].map(([fingerprint, crash]): Suspect => {
    const suspect = addCrash(state, { attribute: fingerprint, crash, requests: [fingerprint] });
    return {
      ...suspect,
      isQuarantined: suspect.isQuarantined || quarantined === fingerprint,
      hour: Math.max(suspect.hour, getFreshRetentionHour(state, now) ?? -1),
    };
  });
  const fields = { engine, suspects: crashes.size, quarantined };
  return [
    newLog('warn', 'engine crashed while running requests', fields),
    ...publishSuspects(state, suspects, now),
  ];
}

/** A crash of an engine under requests with an attribute. */
interface AttributeCrash {
  attribute: string;
  depth?: number;
  /** Id of the crash, see `Suspect`. */
  crash: string;
  requests: readonly string[];
  /** Crashes in a row, this one included. */
  streak?: number;
}

/** Returns the record of an attribute with one more crash; a crash that it was cleared of is left out. */
export function addCrash(
  { suspects }: State,
  { attribute, depth = 0, crash, requests, streak = 1 }: AttributeCrash,
): Suspect {
  const known = suspects.byAttribute.get(attribute) ?? newSuspect(attribute, depth);
  if (known.cleared.some((other) => isSameCrash(other, crash))) return known;
  const isCounted = known.crashes.some((other) => isSameCrash(other, crash));
  const hasRoom = known.crashes.length < MAX_CRASHES_PER_SUSPECT;
  const base = hasRoom ? known : newTrimmedSuspect(known);
  return {
    ...base,
    crashes: isCounted ? base.crashes : [...base.crashes, crash].sort(),
    requests: [...new Set([...base.requests, ...requests])].sort().slice(0, MAX_SUSPECT_REQUESTS),
    streak: Math.max(base.streak, streak),
  };
}

/**
 * Clears the attributes of a request that was completed, and remembers the completion; what is a cause
 * beyond doubt stays quarantined. Attributes that are known to be completed are cleared on this host
 * alone, as all hosts complete them soon and would tell each other.
 */
export function recordCompletion(
  state: State,
  attributes: readonly string[],
  now: number,
): Effect[] {
  const { byAttribute, active, completions } = state.suspects;
  for (const key of attributes) if (isSharedAttribute(key)) completions.add(key, now);
  const cleared = attributes
    .filter((key) => active.has(key))
    .flatMap((key) => byAttribute.get(key) ?? [])
    .filter((suspect) => !suspect.isQuarantined);
  const [common, rare] = partition(cleared, ({ attribute, isProven }) => {
    return isProven && !state.suspects.quarantined.has(attribute);
  });
  return [
    ...updateSuspects(state, common.map(newClearedSuspect), now),
    ...publishSuspects(state, rare.map(newClearedSuspect), now),
  ];
}

/** Clears a suspect, also a quarantined one; operators can request it. */
export function clearSuspect(state: State, attribute: string, now: number): Effect[] {
  const known = state.suspects.byAttribute.get(attribute);
  return known === undefined ? [] : publishSuspects(state, [newClearedSuspect(known)], now);
}

/** Returns the suspects that meet the condition, and the others. */
function partition(
  suspects: readonly Suspect[],
  isMet: (suspect: Suspect) => boolean,
): [Suspect[], Suspect[]] {
  return [suspects.filter(isMet), suspects.filter((suspect) => !isMet(suspect))];
}

/** Returns the record without the crashes that were taken back, in a new generation. */
function newTrimmedSuspect(known: Suspect): Suspect {
  const { generation } = newClearedSuspect(known);
  return { ...known, generation, crashes: getCountedCrashes(known).slice(1), cleared: [] };
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
