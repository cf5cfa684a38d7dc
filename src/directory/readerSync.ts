import type { TopicState } from './types.ts';

/**
 * Whether a host that announced changes up to a version announces all that this host lacks from there on. It leaves out
 * a row that has become again what it knew; a host that saw the row between, by other ways, would keep that.
 */
export function isSyncedWith(
  { newestVersion, synced }: TopicState,
  host: string,
  announcedVersion: number,
): boolean {
  const syncedVersion = synced?.host === host ? synced.version : 0;
  return newestVersion <= Math.max(announcedVersion, syncedVersion);
}

/** Whether changes after a version are the answer to the last request for them, which leaves nothing out. */
export function isRequested({ requested }: TopicState, host: string, after: number): boolean {
  return requested?.host === host && requested.after === after;
}
