/** Answers above this size go to the object store; rows stay small. */
export const MAX_INLINE_BYTES = 16 * 1024;
/** Longest `Idempotency-Key`. */
export const MAX_KEY_LENGTH = 255;
/** Claims tried while their answers are lost. */
export const MAX_CLAIM_TRIES = 3;
/** Time for which an endpoint that refused a connection is chosen last. */
export const AVOID_ENDPOINT_MS = 5_000;
/** Time that the caller waits for its answer to be recorded. */
export const RECORD_WAIT_MS = 1_000;
export const RECORD_RETRY_BASE_MS = 500;
export const RECORD_RETRY_MAX_MS = 30_000;
/** Endpoints tried for one repeatable call. */
export const MAX_CALLS = 3;

export const ACTION_PREFIX = 'action/';
/** Index of claims that have not ended. */
export const OPEN_PREFIX = 'action-open/';
/** Index of ended rows by retention hour. */
export const ENDED_PREFIX = 'action-ended/';
export const HOUR_KEY = 'retention/hour';

export const HOUR_MS = 3_600_000;
export const HOUR_POLL_MS = 600_000;
/** Age of the last read up to which the retention hour may be stamped into a row. */
export const HOUR_FRESH_MS = 900_000;
/** 7 days, and two hours for a stamp that was one hour old and for the hour in progress. */
export const RETENTION_HOURS = 7 * 24 + 2;
export const SWEEP_PAGE = 100;
export const SWEEP_MS = 60_000;
/** Pause between two pages when the last one was full. */
export const SWEEP_BUSY_MS = 1_000;
/**
 * Time without a link to the holder of a claim after which the claim is given up in the table. A
 * holder that is only cut off ends its call (at most 120 s) and records the answer before that.
 */
export const CLAIM_SILENT_MS = 600_000;
