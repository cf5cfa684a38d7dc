/** Time after which a suspect expires, counted from its last change. */
export const SUSPECT_TTL_MS = 24 * 3_600_000;
/** Hours after which a row expires; one more than 24, since the stored hour may be stale. */
export const SUSPECT_ROW_TTL_HOURS = 25;
/** Time for which a broken attempt is kept, in case a crash of its engine is detected later. */
export const BROKEN_ATTEMPT_TTL_MS = 10_000;
/** Minimum age at which a report under the same boot id clears a broken attempt. */
export const BROKEN_ATTEMPT_MIN_CLEAR_AGE_MS = 1_000;
/** Time within which hosts release their grants after an engine crash. */
export const GRANT_RELEASE_TIMEOUT_MS = 2_000;
/** Maximum crashes kept for one suspect. */
export const MAX_CRASHES_PER_SUSPECT = 32;
/**
 * Interval between scans of the suspect rows by a host that is not the reader of its zone, in case no
 * peer can reach it. A host that becomes the reader notices it within this time.
 */
export const SUSPECT_POLL_INTERVAL_MS = 5_000;
/**
 * Interval between scans by the reader of a zone. A crash is detected after about 400 ms and the
 * retry takes as long, so that other zones learn of the suspect before a copy of it can arrive
 * there, even when links between hosts are cut.
 */
export const ZONE_READER_POLL_INTERVAL_MS = 250;
/**
 * Time after the last change of a suspect during which a zone without a link to the zone of the
 * crash does not run it. The retry in the zone of the crash decides meanwhile on quarantine.
 */
export const UNREACHABLE_CRASH_HOLD_MS = 10_000;
/** Maximum suspects sent when a link to a host opens; the most recently changed ones are sent. */
export const MAX_SENT_SUSPECTS = 100;
/** Longest pause before the row of a suspect is read again after a failed read or write. */
export const SUSPECT_SYNC_RETRY_MS = 2_000;
/** Maximum suspects that a host knows; cleared ones are dropped first, and of each the least recently changed. */
export const MAX_KNOWN_SUSPECTS = 4_000;
/**
 * Interval at which a host decides again what is quarantined while records change: none up to the first number
 * of suspects, then longer with each further one, up to the maximum. A decision looks at all suspects, and a
 * loss of many endpoints changes a record for each of their requests.
 */
export const FREELY_DECIDED_SUSPECTS = 50;
export const DECISION_INTERVAL_PER_SUSPECT_MS = 0.5;
export const MAX_DECISION_INTERVAL_MS = 100;
/** Attributes that are named in one log line of reports. */
export const MAX_LOGGED_ATTRIBUTES = 20;
/** Time over which the hosts' writes of the row of suspects are spread, for each member of the row. */
export const ROW_WRITE_SPREAD_PER_HOST_MS = 50;
/** Pause before the row is written again after another host wrote it first; doubles with each such write. */
export const ROW_CONFLICT_RETRY_MS = 20;
export const MAX_ROW_CONFLICT_RETRY_MS = 640;
/** Different requests that are kept with a suspect. */
export const MAX_SUSPECT_REQUESTS = 2;
/**
 * Crashes in a row from which on an attribute is quarantined although requests with it were completed
 * before: what crashed now may be new. Endpoints that crash at the same time count as one in the row.
 */
export const MIN_CRASH_STREAK = 3;
/** Time for which a completed request speaks for its attributes, and maximum attributes kept. */
export const COMPLETION_TTL_MS = 3_600_000;
export const MAX_KNOWN_COMPLETIONS = 10_000;
/**
 * Crashes from which on a suspect is kept in the directory's row of suspects; one is enough on a host
 * without links to most members.
 */
export const MIN_STORED_CRASHES = 2;
/** Limits of the row of suspects, which keep it below 64 KiB in base64. */
export const MAX_STORED_SUSPECTS = 40;
export const MAX_STORED_CRASHES = 8;
export const SUSPECT_PAGE_SIZE = 200;
export const SUSPECT_KEY_PREFIX = 'suspect/';
