/** Bodies and results above this size go to the object store; rows stay small. */
export const MAX_INLINE_BYTES = 16 * 1024;
/** Time and number of drafts for which one transaction waits. */
export const GROUP_COMMIT_DELAY_MS = 20;
export const MAX_GROUP_COMMIT_DRAFTS = 50;
/** Time after which a caller is told that it is not known whether its draft was accepted. */
export const ACCEPT_TIMEOUT_MS = 10_000;
/** Drafts that one host keeps; each costs it some 300 bytes while it waits. */
export const MAX_DRAFTS = 20_000;
/** Drafts that one host runs at once, so that a burst waits in the table and not at the engines. */
export const MAX_ACTIVE_DRAFTS = 32;
/** Share of the host's requests in flight above which no draft starts. */
export const MAX_IN_FLIGHT_SHARE = 0.5;
/** Failures that may have run, after which a draft is poison. */
export const MAX_FAILED_ATTEMPTS = 5;
export const RETRY_BASE_MS = 1_000;
export const RETRY_MAX_MS = 60_000;
export const STORE_RETRY_BASE_MS = 500;
export const STORE_RETRY_MAX_MS = 30_000;
export const SWEEP_INTERVAL_MS = 60_000;
/** Interval between checks of the links to other hosts. */
export const HOST_CHECK_INTERVAL_MS = 1_000;
/** Interval between takeovers from a host that stays silent, for scans that failed. */
export const TAKEOVER_RETRY_INTERVAL_MS = 10_000;
/** Drafts taken over with one scan, and the pause before the next one. */
export const TAKEOVER_PAGE_SIZE = 50;
export const TAKEOVER_PAGE_PAUSE_MS = 250;
/** Drafts on one page of an operator's list. */
export const LIST_PAGE_SIZE = 100;

export const DRAFT_PREFIX = 'draft/';
export const HOST_INDEX_PREFIX = 'draft-of/';
/** Index of the drafts that ended without a result, by state. */
export const STATE_INDEX_PREFIX = 'draft-state/';
