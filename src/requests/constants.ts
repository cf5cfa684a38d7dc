/** Maximum time until the deadline of a request. */
export const MAX_REQUEST_DEADLINE_MS = 120_000;
/** Maximum attempts for one request. */
export const MAX_ATTEMPTS = 4;
/**
 * Initial limit of the backoff before a grant is requested again. It grows exponentially with the
 * attempts, excluded engines and changes of owner up to the maximum, with full jitter.
 */
export const GRANT_RETRY_BASE_MS = 25;
export const GRANT_RETRY_MAX_MS = 1_000;
/**
 * Time after which an unanswered grant request is sent again; it is rerouted if the request is urgent
 * or the owner cannot be reached.
 */
export const GRANT_REQUEST_TIMEOUT_MS = 10_000;
/** Time that a request waits for a new link to an owner in another zone. */
export const LINK_OPEN_TIMEOUT_MS = 1_000;
/** Maximum time that a request waits for its suspect row to be read. */
export const SUSPECT_READ_TIMEOUT_MS = 300;
/** Refusals by former owners after which a request excludes the engine. */
export const MAX_OWNER_CHANGES = 3;
/** Priority of a caller without a configured one; 0 is first, 9 is last. */
export const DEFAULT_PRIORITY = 5;
/** Maximum time that a request waits for a probe of its engine after an attempt broke. */
export const CRASH_CHECK_TIMEOUT_MS = 2_500;
/** Share of the host's request limit at which arrivals of each kind are refused. */
export const KIND_LIMIT_SHARES = { urgent: 1, ordinary: 0.9, draft: 0.6 } as const;
/** Share of the limit up to which a firm may exceed its own share. */
export const SHARE_LENDING_LIMIT = 0.8;
/** Retries allowed per recent request, and the rate that is always allowed. */
export const RETRY_RATIO = 0.1;
export const RETRY_MIN_PER_S = 3;
export const RETRY_BUDGET_HALF_LIFE_MS = 5_000;
