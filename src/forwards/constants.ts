/** Time within which an owner reacts to an ask; a busy host answers within a few ms. */
export const PLACE_TIMEOUT_MS = 200;
/** First pause before a request that found no endpoint is tried again; doubles. */
export const RETRY_BASE_MS = 10;
export const RETRY_MAX_MS = 150;
/** Sends of one request that endpoints may turn away. */
export const MAX_SENDS = 5;
/** Rounds in which no endpoint could be chosen after which a request is given up. */
export const MAX_ROUNDS = 8;
/** Share of the retries allowed to all hosts that they use together. */
export const BUDGET_SHARE = 0.8;
/** Buckets of the window over which requests and retries are counted. */
export const BUDGET_BUCKETS = 10;
/** Rest of a deadline below which no attempt is started. */
export const MIN_ATTEMPT_MS = 20;
/** Wait that callers are asked for, in ms: the base and the random part that spreads them. */
export const RETRY_AFTER_MS = 250;
export const RETRY_AFTER_SPREAD_MS = 500;
/** Broken attempts on different endpoints after which a request counts as one that crashes them. */
export const CRASH_LIMIT = 2;
/** Time for which broken attempts of one fingerprint are remembered. */
export const CRASH_MEMORY_MS = 30_000;
/** Costs that placement compares, in ms. */
export const LOAD_COST_MS = 260;
export const WARM_LOAD_COST_MS = 45;
export const LOADING_COST_MS = 60;
export const NO_SLOT_COST_MS = 700;
export const RUNNING_COST_MS = 4;
export const UNKNOWN_COST_MS = 300;
/** Rank by rendezvous hashing up to which an engine is likely to have held an adapter lately. */
export const HOME_ENGINES = 2;
/** Age after which what an owner told of an engine is not used. */
export const TOLD_MAX_AGE_MS = 10_000;
