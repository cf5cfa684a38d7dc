/** Longest deadline that a caller may ask for. */
export const MAX_REQUEST_MS = 120_000;
/** Attempts at engines for one request. */
export const MAX_ATTEMPTS = 4;
/** First backoff; doubles with each attempt, with full jitter. */
export const RETRY_BASE_MS = 25;
export const RETRY_MAX_MS = 1_000;
/** Time after which an owner that did not answer an ask is given up on. */
export const ASK_TIMEOUT_MS = 10_000;
/** Priority of a caller that no intent names, 0 (first) to 9 (last). */
export const DEFAULT_PRIORITY = 5;
/** Retries allowed for each recent request, and the rate that is always allowed. */
export const RETRY_SHARE = 0.1;
export const RETRY_MIN_PER_S = 3;
export const RETRY_BUDGET_HALF_LIFE_MS = 5_000;
