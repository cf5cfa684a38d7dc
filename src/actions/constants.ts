/** Larger response bodies go to the object store, which keeps the rows of the table small. */
export const MAX_INLINE_BYTES = 16 * 1024;
/** Maximum length of an `Idempotency-Key` in characters. */
export const MAX_KEY_LENGTH = 255;
/** Attempts to claim a key, for example after lost answers. */
export const MAX_CLAIM_ATTEMPTS = 3;
/** Time for which an endpoint that refused a connection is chosen last. */
export const ENDPOINT_BACKOFF_MS = 5_000;
/** Time after which the caller receives the response even if it is not recorded yet. */
export const RECORD_TIMEOUT_MS = 1_000;
/** Backoff between attempts to record a settlement. */
export const RECORD_RETRY_BASE_MS = 500;
export const RECORD_RETRY_MAX_MS = 30_000;
/** Attempts at one repeatable call, each at another endpoint. */
export const MAX_CALL_ATTEMPTS = 3;

export const ACTION_PREFIX = 'action/';
/** Index of open claims. */
export const OPEN_INDEX_PREFIX = 'action-open/';
/** Index of ended claims by retention hour. */
export const ENDED_INDEX_PREFIX = 'action-ended/';
export const RETENTION_HOUR_KEY = 'retention/hour';

export const HOUR_MS = 3_600_000;
export const RETENTION_HOUR_POLL_MS = 600_000;
/** Maximum age of a retention hour that is written into a row. */
export const MAX_RETENTION_HOUR_AGE_MS = 900_000;
/**
 * 7 days, plus one hour because the hour written into a row may be outdated by one, and one because
 * the current hour is already partly over when a claim ends.
 */
export const RETENTION_HOURS = 7 * 24 + 2;
export const SWEEP_PAGE_SIZE = 100;
export const SWEEP_INTERVAL_MS = 60_000;
/** Pause before the next page of ended claims when the last one was full. */
export const FULL_PAGE_PAUSE_MS = 1_000;
/**
 * Time without a link to the holder of a claim after which the sweep ends the claim as `unknown`. A
 * holder that is only partitioned ends its call, which takes at most 120 s, and records the
 * response before that.
 */
export const CLAIM_HOLDER_UNREACHABLE_MS = 600_000;
