/** What changed of a list whose entries have names. */
export interface NamedDifference<T> {
  /** Entries that are new or have changed, in their order. */
  changed: T[];
  /** Names of those that are gone. */
  removed: string[];
}

/** An entry of a list with a name of its own. */
interface Named {
  name: string;
}

/** Returns the entries of a list that another one lacks or has otherwise, and the keys that only the other one has. */
export function findChanges<T>(
  before: readonly T[],
  after: readonly T[],
  getKey: (entry: T) => string,
): NamedDifference<T> {
  const known = new Map(before.map((entry) => [getKey(entry), entry]));
  const present = new Set(after.map(getKey));
  return {
    changed: after.filter((entry) => !isSame(known.get(getKey(entry)), entry)),
    removed: [...known.keys()].filter((key) => !present.has(key)),
  };
}

/**
 * Returns what makes one list of another; undefined if their common entries are in another order, or if names are not
 * unique.
 */
export function newNamedDifference<T extends Named>(
  before: readonly T[],
  after: readonly T[],
): NamedDifference<T> | undefined {
  const names = getNames(after);
  if (!areUnique(names) || !areUnique(getNames(before))) return undefined;
  const difference = findChanges(before, after, ({ name }) => name);
  const merged = applyNamedDifference(before, difference);
  return isSame(getNames(merged), names) ? difference : undefined;
}

/** Returns a list with the changed entries in their places, without the removed ones, and with the new ones last. */
export function applyNamedDifference<T extends Named>(
  before: readonly T[],
  { changed, removed }: NamedDifference<T>,
): T[] {
  const gone = new Set(removed);
  const replacements = new Map(changed.map((entry) => [entry.name, entry]));
  const kept = before
    .filter(({ name }) => !gone.has(name))
    .map((entry) => replacements.get(entry.name) ?? entry);
  const names = new Set(getNames(kept));
  return [...kept, ...changed.filter(({ name }) => !names.has(name))];
}

function getNames(entries: readonly Named[]): string[] {
  return entries.map(({ name }) => name);
}

function areUnique(names: readonly string[]): boolean {
  return new Set(names).size === names.length;
}

function isSame(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
