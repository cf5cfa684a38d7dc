import type { DirectoryChange, TopicState } from './types.ts';

/**
 * Returns the entry of a key as hosts know it that have all announced changes; undefined if there is none, or
 * if another host told it to this one ahead of its version, so that they may lack it.
 */
export function getAnnouncedEntry(
  { entries, version = 0 }: TopicState,
  key: string,
): DirectoryChange | undefined {
  const entry = entries.get(key);
  return entry !== undefined && entry.version <= version ? entry : undefined;
}
