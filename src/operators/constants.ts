/** Time for which a host tries to settle a confirm before it tells the operator what it knows. */
export const CONFIRM_TIMEOUT_MS = 10_000;
/** Wait before a confirm is tried or settled again. */
export const CONFIRM_RETRY_MS = 500;
/** Revisions read to tell what changed since a plan was made. */
export const STALE_PLAN_SCAN_LIMIT = 50;
/** Audit entries that one page may hold. */
export const MAX_AUDIT_PAGE_SIZE = 200;
