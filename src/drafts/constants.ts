/** Larger bodies and results go to the object store, which keeps the rows of the table small. */
export const MAX_INLINE_BYTES = 16 * 1024;
/** Drafts that arrive within this time are accepted with one transaction. */
export const GROUP_COMMIT_DELAY_MS = 20;
/** Drafts after which a transaction is sent at once. */
export const MAX_GROUP_COMMIT_DRAFTS = 50;
/** Time after which an unacknowledged draft is answered with the outcome `unknown`. */
export const ACCEPT_TIMEOUT_MS = 10_000;
/** Unfinished drafts per host; a queued draft takes about 300 bytes of memory. */
export const MAX_DRAFTS = 20_000;
/** Drafts that one host runs at once; a burst waits in the table instead of at the engines. */
export const MAX_ACTIVE_DRAFTS = 32;
/** No draft starts while this share of the host's maximum of requests, or more, is in flight. */
export const MAX_IN_FLIGHT_SHARE = 0.5;
/** Failed attempts that may have run, after which a draft becomes poison. */
export const MAX_FAILED_ATTEMPTS = 5;
/** Backoff between attempts at a draft. */
export const RETRY_BASE_MS = 1_000;
export const RETRY_MAX_MS = 60_000;
/** Backoff between calls of the table service or object store. */
export const STORE_RETRY_BASE_MS = 500;
export const STORE_RETRY_MAX_MS = 30_000;
export const SWEEP_INTERVAL_MS = 60_000;
/** Interval between checks for unreachable hosts. */
export const HOST_CHECK_INTERVAL_MS = 1_000;
/** Interval at which a takeover from an unreachable host is repeated, in case its scan failed. */
export const TAKEOVER_RETRY_INTERVAL_MS = 10_000;
/** Longest pause before the drafts of this host are scanned again after a scan or a takeover failed. */
export const OWN_SCAN_RETRY_MS = 3_000;
/** Drafts that one scan of a takeover reads, and the pause before the next scan. */
export const TAKEOVER_PAGE_SIZE = 50;
export const TAKEOVER_PAGE_PAUSE_MS = 250;
/** Rows that one page of an operator's list reads. */
export const LIST_PAGE_SIZE = 100;

export const DRAFT_PREFIX = 'draft/';
/** Index of the queued drafts by host. */
export const HOST_INDEX_PREFIX = 'draft-of/';
/** Index of the failed and poison drafts by state. */
export const STATE_INDEX_PREFIX = 'draft-state/';
