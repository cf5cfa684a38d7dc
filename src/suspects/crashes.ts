import { getStampHour } from '../actions/rows.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { BROKEN_MS, MAX_CRASHES, PROOF_MS, RELEASE_MS } from './constants.ts';
import { changeSuspect } from './table.ts';
import type { Culprit, Suspect } from './types.ts';

/** Remembers an attempt that broke on an engine, in case the engine turns out to have crashed. */
export function noteBroken(state: State, engine: string, culprit: Culprit, now: number): void {
  const known = state.suspects.broken.get(engine) ?? [];
  const recent = known.filter(({ at }) => at + BROKEN_MS > now);
  const { fingerprint, bootId } = culprit;
  state.suspects.broken.set(engine, [...recent, { fingerprint, bootId, at: now }]);
}

/** Takes over how a granted attempt ended; a late "completed" clears a pin that was blamed. */
export function noteReleased(
  state: State,
  engine: string,
  pin: Culprit | undefined,
  { result, bootId = '' }: { result: string; bootId?: string },
  now: number,
): Effect[] {
  if (pin === undefined) return [];
  if (result === 'crashed')
    noteBroken(state, engine, { fingerprint: pin.fingerprint, bootId }, now);
  return result === 'completed' ? clearCompleted(state, pin.fingerprint, now) : [];
}

/** Checks the boot id of a report against what ran; call before the report is taken over. */
export function checkBoot(state: State, engine: string, bootId: string, now: number): Effect[] {
  const known = state.engines.views.get(engine)?.bootId ?? '';
  const isDown = state.suspects.down.delete(engine);
  if (known !== '' && known !== bootId && !isDown) blamePinsLater(state, engine, known, now);
  const broken = state.suspects.broken.get(engine) ?? [];
  const crashed = broken.filter((entry) => entry.bootId !== '' && entry.bootId !== bootId);
  // A report may have left the engine before the attempt broke, so it clears older ones only.
  const open = broken.filter((entry) => !crashed.includes(entry) && entry.at + PROOF_MS > now);
  if (open.length > 0) state.suspects.broken.set(engine, open);
  else state.suspects.broken.delete(engine);
  return recordCrash(state, engine, crashed, now);
}

/** Takes a refused connection as a crash of what broke on the engine. */
export function checkRefused(state: State, engine: string, now: number): Effect[] {
  const { broken, down } = state.suspects;
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
export function blamePins(
  state: State,
  { engine, bootId, before }: { engine: string; bootId: string; before: number },
  now: number,
): Effect[] {
  const pins = [...(state.grants.owned.get(engine)?.pins.values() ?? [])]
    .filter((pin) => pin.grantedAt < before && !state.suspects.blamed.has(pin))
    .map((pin) => {
      state.suspects.blamed.add(pin);
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
  pins: readonly Culprit[],
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
      crashes: isCounted ? known.crashes : [...known.crashes, crash].slice(-MAX_CRASHES).sort(),
      isCondemned: known.isCondemned || culprit === fingerprint,
      hour: Math.max(known.hour, getStampHour(state, now) ?? -1),
    };
    return changeSuspect(state, next, now);
  });
  const fields = { engine, suspects: crashes.size, quarantined: culprit };
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
  const cleared = [...known.cleared, ...known.crashes].slice(-MAX_CRASHES);
  const next = { ...newSuspect(fingerprint), generation: generation + 1, cleared, hour };
  return changeSuspect(state, next, now);
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
  schedule(state, now + RELEASE_MS, { type: 'blamePins', engine, bootId, before: now });
}
