import { MAX_CRASHES_PER_SUSPECT } from './constants.ts';
import type { Suspect } from './types.ts';

/** Merges the records of two hosts; commutative, associative and idempotent. */
export function mergeSuspects(a: Suspect, b: Suspect): Suspect {
  if (a.generation !== b.generation) return a.generation > b.generation ? a : b;
  return {
    ...a,
    crashes: [...new Set([...a.crashes, ...b.crashes])].sort(),
    cleared: [...new Set([...a.cleared, ...b.cleared])].sort(),
    isCondemned: a.isCondemned || b.isCondemned,
    hour: Math.max(a.hour, b.hour),
  };
}

/** Returns the record of a request without crashes. */
export function newSuspect(fingerprint: string): Suspect {
  return { fingerprint, generation: 0, crashes: [], cleared: [], isCondemned: false, hour: -1 };
}

/** Returns the record after the suspect was cleared of all its crashes. */
export function newClearedSuspect({ fingerprint, generation, ...known }: Suspect): Suspect {
  const cleared = [...known.cleared, ...known.crashes].slice(-MAX_CRASHES_PER_SUSPECT);
  return { ...newSuspect(fingerprint), generation: generation + 1, cleared, hour: known.hour };
}

/** Returns the crashes of which the suspect was not cleared. */
export function getCountedCrashes({ crashes, cleared }: Suspect): string[] {
  return crashes.filter((crash) => !cleared.includes(crash));
}

/** Whether two records of a suspect are equal, regardless of the order of crashes. */
export function isSameSuspect(a: Suspect, b: Suspect): boolean {
  return (
    a.generation === b.generation &&
    a.isCondemned === b.isCondemned &&
    a.hour === b.hour &&
    isSameSet(a.crashes, b.crashes) &&
    isSameSet(a.cleared, b.cleared)
  );
}

function isSameSet(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((item) => b.includes(item));
}
