/** Time after which a host stops retrying a confirm and answers with a failure. */
export const CONFIRM_TIMEOUT_MS = 10_000;
/** Delay before the next attempt of a confirm. */
export const CONFIRM_RETRY_MS = 500;
/** Maximum number of revisions read to list the changes since a stale plan was made. */
export const STALE_PLAN_SCAN_LIMIT = 50;
/** Maximum number of audit entries in one page. */
export const MAX_AUDIT_PAGE_SIZE = 200;
