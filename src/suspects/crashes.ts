import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { getStampHour } from '../actions/rows.ts';
import { BROKEN_MS } from './constants.ts';
import { changeSuspect } from './table.ts';
import type { Culprit, Suspect } from './types.ts';

/** Remembers an attempt that broke on an engine, in case the engine turns out to have crashed. */
export function noteBroken(state: State, engine: string, fingerprint: string, now: number): void {
  const known = state.suspects.broken.get(engine) ?? [];
  const recent = known.filter(({ at }) => at + BROKEN_MS > now);
  state.suspects.broken.set(engine, [...recent, { fingerprint, at: now }]);
}

/** Checks the boot id of a report against the last one; call before the report is taken over. */
export function checkBoot(state: State, engine: string, bootId: string, now: number): Effect[] {
  const known = state.engines.views.get(engine)?.bootId ?? '';
  if (known === '' || known === bootId) return [];
  return recordCrash(state, engine, getRunning(state, engine, now), now);
}

/** Takes a refused connection as a crash of what ran on the engine. */
export function checkRefused(state: State, engine: string, now: number): Effect[] {
  return recordCrash(state, engine, getRunning(state, engine, now), now);
}

/**
 * Blames everything that ran on a crashed engine. The one that was a suspect before, when there is
 * exactly one, is quarantined; all others become suspects.
 */
export function recordCrash(
  state: State,
  engine: string,
  pins: readonly Culprit[],
  now: number,
): Effect[] {
  const crash = `${engine}@${state.engines.views.get(engine)?.bootId ?? ''}`;
  const { byFingerprint } = state.suspects;
  const fingerprints = [...new Set(pins.map(({ fingerprint }) => fingerprint))];
  if (fingerprints.length === 0) return [];
  const earlier = fingerprints.filter((fingerprint) =>
    byFingerprint.get(fingerprint)?.crashes.some((known) => !isSameCrash(known, crash)),
  );
  const effects = fingerprints.flatMap((fingerprint) => {
    const known = byFingerprint.get(fingerprint) ?? newSuspect(fingerprint);
    const isCounted = known.crashes.some((other) => isSameCrash(other, crash));
    const isCulprit = earlier.length === 1 && earlier[0] === fingerprint;
    const next: Suspect = {
      ...known,
      crashes: isCounted ? known.crashes : [...known.crashes, crash].sort(),
      isCondemned: known.isCondemned || isCulprit,
      hour: Math.max(known.hour, getStampHour(state, now) ?? -1),
    };
    return changeSuspect(state, next, now);
  });
  const fields = { engine, suspects: fingerprints.length, quarantined: earlier.length === 1 };
  return [newLog('warn', 'engine crashed under requests', fields), ...effects];
}

/** Clears a suspect whose request completed; one that is quarantined stays so. */
export function clearCompleted(state: State, fingerprint: string, now: number): Effect[] {
  const known = state.suspects.byFingerprint.get(fingerprint);
  if (known === undefined || known.crashes.length === 0 || known.isCondemned) return [];
  return clearSuspect(state, fingerprint, now);
}

/** Clears a suspect, quarantined or not, as an operator may ask. */
export function clearSuspect(state: State, fingerprint: string, now: number): Effect[] {
  const known = state.suspects.byFingerprint.get(fingerprint);
  if (known === undefined) return [];
  const { generation, hour } = known;
  const next = { ...newSuspect(fingerprint), generation: generation + 1, hour };
  return changeSuspect(state, next, now);
}

function newSuspect(fingerprint: string): Suspect {
  return { fingerprint, generation: 0, crashes: [], isCondemned: false, hour: -1 };
}

/** An observer that had no report of the engine yet does not know its boot id. */
function isSameCrash(a: string, b: string): boolean {
  const [engineA, bootA = ''] = a.split('@');
  const [engineB, bootB = ''] = b.split('@');
  return engineA === engineB && (bootA === bootB || bootA === '' || bootB === '');
}

/** Returns what this host knows to have run on the engine and did not blame yet. */
function getRunning(state: State, engine: string, now: number): Culprit[] {
  const { broken, blamed } = state.suspects;
  const pins = [...(state.grants.owned.get(engine)?.pins.values() ?? [])];
  const attempts = [...state.requests.inFlight.values()].flatMap(({ fingerprint, attempt }) =>
    attempt?.engine === engine ? [{ fingerprint, attempt }] : [],
  );
  const recent = (broken.get(engine) ?? []).filter(({ at }) => at + BROKEN_MS > now);
  broken.delete(engine);
  const running = [
    ...pins.filter((pin) => !blamed.has(pin)),
    ...attempts.filter(({ attempt }) => !blamed.has(attempt)),
    ...recent,
  ];
  for (const pin of pins) blamed.add(pin);
  for (const { attempt } of attempts) blamed.add(attempt);
  return running;
}
