/** Answers above this size go to the object store; rows stay small. */
export const MAX_INLINE_BYTES = 16 * 1024;
/** Longest `Idempotency-Key`. */
export const MAX_KEY_LENGTH = 255;
/** Claims tried while their answers are lost. */
export const MAX_CLAIM_ATTEMPTS = 3;
/** Time for which an endpoint that refused a connection is chosen last. */
export const ENDPOINT_BACKOFF_MS = 5_000;
/** Time that the caller waits for its answer to be recorded. */
export const RECORD_TIMEOUT_MS = 1_000;
export const RECORD_RETRY_BASE_MS = 500;
export const RECORD_RETRY_MAX_MS = 30_000;
/** Endpoints tried for one repeatable call. */
export const MAX_CALL_ATTEMPTS = 3;

export const ACTION_PREFIX = 'action/';
/** Index of claims that have not ended. */
export const OPEN_INDEX_PREFIX = 'action-open/';
/** Index of ended rows by retention hour. */
export const ENDED_INDEX_PREFIX = 'action-ended/';
export const RETENTION_HOUR_KEY = 'retention/hour';

export const HOUR_MS = 3_600_000;
export const RETENTION_HOUR_POLL_MS = 600_000;
/** Age of the last read up to which the retention hour may be stamped into a row. */
export const MAX_RETENTION_HOUR_AGE_MS = 900_000;
/** 7 days, and two hours for a stamp that was one hour old and for the hour in progress. */
export const RETENTION_HOURS = 7 * 24 + 2;
export const SWEEP_PAGE_SIZE = 100;
export const SWEEP_INTERVAL_MS = 60_000;
/** Pause between two pages when the last one was full. */
export const FULL_PAGE_PAUSE_MS = 1_000;
/**
 * Time without a link to the holder of a claim after which the claim is given up in the table. A
 * holder that is only cut off ends its call (at most 120 s) and records the answer before that.
 */
export const CLAIM_HOLDER_UNREACHABLE_MS = 600_000;
