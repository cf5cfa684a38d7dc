import { MAX_CRASHES_PER_SUSPECT, MAX_SUSPECT_REQUESTS } from './constants.ts';
import type { Suspect } from './types.ts';

/** Merges the records of two hosts; commutative, associative and idempotent. */
export function mergeSuspects(a: Suspect, b: Suspect): Suspect {
  if (a.generation !== b.generation) return a.generation > b.generation ? a : b;
  return {
    ...a,
    crashes: [...new Set([...a.crashes, ...b.crashes])].sort(),
    cleared: [...new Set([...a.cleared, ...b.cleared])].sort(),
    depth: Math.max(a.depth, b.depth),
    requests: [...new Set([...a.requests, ...b.requests])].sort().slice(0, MAX_SUSPECT_REQUESTS),
    streak: Math.max(a.streak, b.streak),
    isProven: a.isProven || b.isProven,
    trials: Math.max(a.trials, b.trials),
    isQuarantined: a.isQuarantined || b.isQuarantined,
    hour: Math.max(a.hour, b.hour),
  };
}

/** Returns the record of an attribute without crashes. */
export function newSuspect(attribute: string, depth = 0): Suspect {
  return {
    attribute,
    depth,
    generation: 0,
    crashes: [],
    cleared: [],
    requests: [],
    streak: 0,
    isProven: false,
    trials: 0,
    isQuarantined: false,
    hour: -1,
  };
}

/** Returns the record after the suspect was cleared of all its crashes. */
export function newClearedSuspect({ attribute, depth, generation, ...known }: Suspect): Suspect {
  const cleared = [...known.cleared, ...known.crashes].slice(-MAX_CRASHES_PER_SUSPECT);
  const { isProven, hour } = known;
  return { ...newSuspect(attribute, depth), generation: generation + 1, cleared, isProven, hour };
}

/** Returns the crashes of which the suspect was not cleared. */
export function getCountedCrashes({ crashes, cleared }: Suspect): string[] {
  return crashes.filter((crash) => !cleared.includes(crash));
}

/** Returns the starts of engines, as `ENGINE@START`, that ended with crashes that count. */
export function getCrashedRuns(suspect: Suspect): Set<string> {
  return new Set(getCountedCrashes(suspect).map((crash) => crash.split('/')[0] ?? crash));
}

/** Whether two records of a suspect are equal, regardless of the order of crashes. */
export function isSameSuspect(a: Suspect, b: Suspect): boolean {
  return (
    a.generation === b.generation &&
    a.isQuarantined === b.isQuarantined &&
    a.hour === b.hour &&
    a.depth === b.depth &&
    a.streak === b.streak &&
    a.isProven === b.isProven &&
    a.trials === b.trials &&
    isSameSet(a.requests, b.requests) &&
    isSameSet(a.crashes, b.crashes) &&
    isSameSet(a.cleared, b.cleared)
  );
}

function isSameSet(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((item) => b.includes(item));
}
