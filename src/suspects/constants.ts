/** Time after its last crash for which a suspect is remembered. */
export const SUSPECT_TTL_MS = 24 * 3_600_000;
/** Retention hours after which a row is out of date; one more than 24, since the hour may be stale. */
export const SUSPECT_ROW_TTL_HOURS = 25;
/** Time for which an attempt that broke is blamed for a crash that is noticed later. */
export const BROKEN_ATTEMPT_TTL_MS = 10_000;
/** Age at which a broken attempt is cleared by a report under the same boot id. */
export const BROKEN_ATTEMPT_MIN_CLEAR_AGE_MS = 1_000;
/** Time within which hosts release their grants after an engine crashed. */
export const GRANT_RELEASE_TIMEOUT_MS = 2_000;
/** Crashes kept for one suspect. */
export const MAX_CRASHES_PER_SUSPECT = 32;
/**
 * Interval between reads of the rows by the other hosts, for those that no peer can reach. A host
 * that has to read for its zone from now on notices it within this time.
 */
export const SUSPECT_POLL_INTERVAL_MS = 5_000;
/**
 * Interval between reads by the host that reads for its zone. A crash is noticed about 400 ms after
 * it happened and the retry takes as long, so that other zones know the suspect before a copy of it
 * can arrive there, whatever is cut between the hosts.
 */
export const ZONE_READER_POLL_INTERVAL_MS = 250;
/**
 * Time after the latest news of a suspect for which a zone that cannot hear from the zone of its
 * crash does not run it: the retry there decides meanwhile whether it is quarantined.
 */
export const UNREACHABLE_CRASH_HOLD_MS = 10_000;
/** Suspects that are sent to a host when a link to it opens; the newest are sent. */
export const MAX_SENT_SUSPECTS = 100;
export const SUSPECT_SYNC_RETRY_MS = 2_000;
export const SUSPECT_PAGE_SIZE = 200;
export const SUSPECT_KEY_PREFIX = 'suspect/';
