/** Longest deadline that a caller may ask for. */
export const MAX_REQUEST_DEADLINE_MS = 120_000;
/** Attempts at engines for one request. */
export const MAX_ATTEMPTS = 4;
/** First backoff; doubles with each attempt, with full jitter. */
export const GRANT_RETRY_BASE_MS = 25;
export const GRANT_RETRY_MAX_MS = 1_000;
/** Time after which an owner that did not answer an ask is given up on. */
export const GRANT_REQUEST_TIMEOUT_MS = 10_000;
/** Time that a request waits for a new link to the owner of an engine in another zone. */
export const LINK_OPEN_TIMEOUT_MS = 1_000;
/** Time that a request waits at most for the row of its suspect. */
export const SUSPECT_READ_TIMEOUT_MS = 300;
/** Refusals by hosts that do not own an engine any more, after which a request goes elsewhere. */
export const MAX_OWNER_CHANGES = 3;
/** Priority of a caller that no intent names, 0 (first) to 9 (last). */
export const DEFAULT_PRIORITY = 5;
/** Time within which a probe tells whether an engine crashed, after an attempt broke. */
export const CRASH_CHECK_TIMEOUT_MS = 2_500;
/** Share of the host's requests at which arrivals of each kind are refused. */
export const KIND_LIMIT_SHARES = { urgent: 1, ordinary: 0.9, draft: 0.6 } as const;
/** Share of a limit up to which a firm may use more than its own share. */
export const SHARE_LENDING_LIMIT = 0.8;
/** Retries allowed for each recent request, and the rate that is always allowed. */
export const RETRY_RATIO = 0.1;
export const RETRY_MIN_PER_S = 3;
export const RETRY_BUDGET_HALF_LIFE_MS = 5_000;
