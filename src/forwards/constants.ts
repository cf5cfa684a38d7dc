/** Time within which an owner reacts to an ask; a busy host answers within a few ms. */
export const RESERVATION_TIMEOUT_MS = 200;
/** First pause before a request that found no endpoint is tried again; doubles. */
export const RETRY_BASE_MS = 10;
export const RETRY_MAX_MS = 150;
/** Sends of one request that endpoints may turn away. */
export const MAX_SENDS = 5;
/**
 * Share of its time after which a request that no endpoint could take is given up, while its caller
 * still has the time to come back.
 */
export const PLACEMENT_TIMEOUT_SHARE = 0.6;
/** Callers leave a stream after this time, or so many times its goals, whichever is longest. */
export const MIN_CALLER_IDLE_TIMEOUT_MS = 2_000;
export const CALLER_IDLE_TIMEOUT_GOALS = 4;
export const CALLER_IDLE_TIMEOUT_PAUSE_GOALS = 8;
/** Rounds in which no endpoint could be chosen after which a request is given up. */
export const MAX_BACKOFFS = 8;
/** Share of the retries allowed to all hosts that they use together. */
export const RETRY_BUDGET_SHARE = 0.8;
/** Buckets of the window over which requests and retries are counted. */
export const RETRY_BUDGET_BUCKETS = 10;
/** Rest of a deadline below which no attempt is started. */
export const MIN_ATTEMPT_MS = 20;
/** Wait that callers are asked for, in ms: the base and the random part that spreads them. */
export const RETRY_AFTER_MS = 250;
export const RETRY_AFTER_JITTER_MS = 500;
/** Broken attempts after which a request counts as one that crashes them. */
export const MAX_BROKEN_FORWARD_ATTEMPTS = 2;
/** Time for which broken attempts of one fingerprint are remembered. */
export const BROKEN_FORWARD_ATTEMPT_TTL_MS = 30_000;
/** Costs that placement compares, in ms. */
export const WARM_LOAD_COST_MS = 40;
/** A load from the weight store; an engine further down the rendezvous order rarely is warm. */
export const RANK_COST_MS = 180;
export const MAX_RANK_COST_MS = 420;
/** Wait for one slot of an engine to become free. */
export const SLOT_WAIT_COST_MS = 220;
/** Recent requests of this host for an adapter that halve what its slot costs each of them. */
export const SLOT_SHARING_REQUESTS = 4;
/** Half-life of the requests that this host counts by adapter. */
export const PLACEMENT_POPULARITY_HALF_LIFE_MS = 10_000;
export const RUNNING_REQUEST_COST_MS = 4;
export const UNKNOWN_LOAD_COST_MS = 300;
