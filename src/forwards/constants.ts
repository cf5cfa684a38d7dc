/** Time within which an owner must react to a reservation request; a busy host takes a few ms. */
export const RESERVATION_TIMEOUT_MS = 200;
/**
 * Shortest backoff before a request that found no endpoint is placed again. It doubles with each
 * reservation request and backoff up to the maximum, with jitter on its second half.
 */
export const RETRY_BASE_MS = 10;
export const RETRY_MAX_MS = 150;
/** Sends after which a request is abandoned if it would have to wait for another backoff. */
export const MAX_SENDS = 5;
/**
 * Share of the request's time after which it is abandoned if it was never sent, so that its caller
 * has time left to retry.
 */
export const PLACEMENT_TIMEOUT_SHARE = 0.6;
/**
 * Callers close a stream that sent nothing for the longest of this time, the goal for the first event
 * times CALLER_IDLE_TIMEOUT_GOALS, and the pause goal times CALLER_IDLE_TIMEOUT_PAUSE_GOALS.
 */
export const MIN_CALLER_IDLE_TIMEOUT_MS = 2_000;
export const CALLER_IDLE_TIMEOUT_GOALS = 4;
export const CALLER_IDLE_TIMEOUT_PAUSE_GOALS = 8;
/** Backoffs of one request after which it is abandoned. */
export const MAX_BACKOFFS = 8;
/** Share of the allowed retries that all hosts together use. */
export const RETRY_BUDGET_SHARE = 0.8;
/**
 * Limits of the slack that a host uses in the first window after its start: the share of its part,
 * and the retries. An earlier process of the host may have used its part shortly before.
 */
export const STARTUP_RETRY_SHARE = 0.1;
export const MAX_STARTUP_RETRIES = 1;
/** Buckets of the sliding window over which requests and retries are counted. */
export const RETRY_BUDGET_BUCKETS = 10;
/** Time to the deadline below which no attempt is started. */
export const MIN_ATTEMPT_MS = 20;
/** `Retry-After` of rejected requests: the base, and the random part that spreads the retries. */
export const RETRY_AFTER_MS = 250;
export const RETRY_AFTER_JITTER_MS = 500;
/** Time after which callers should return whose service has leaving endpoints only. */
export const LEAVING_RETURN_MS = 1_000;
/** Time after which callers should return whose streams can go on only at endpoints that are down. */
export const VERSION_RETURN_MS = 1_500;
/** Share of a pause of endpoints over which the returns of refused callers are spread after it. */
export const PAUSE_RETURN_SPREAD = 0.5;
/** Longest `Retry-After` of a request that is refused because of a quarantine. */
export const MAX_QUARANTINE_RETRY_AFTER_MS = 3_600_000;
/** Time before a connection is refused within which broken attempts count as broken by the crash. */
export const BROKEN_WITH_ENDPOINT_MS = 2_000;
/**
 * Time after a broken attempt at which its endpoint is checked. The directory shows a crash by then:
 * it removes an endpoint that has been silent for 4 s, and hosts learn of that within 2 s.
 */
export const CRASH_VERIFICATION_DELAY_MS = 8_000;
/**
 * Cost of loading a warm adapter, whose weights the engine need not fetch from the weight store. The
 * costs here and below are compared between engines.
 */
export const WARM_LOAD_COST_MS = 40;
/**
 * Cost of each position in the rendezvous order, up to the maximum: an engine further down rarely
 * has the adapter warm and loads it from the weight store.
 */
export const RANK_COST_MS = 180;
export const MAX_RANK_COST_MS = 420;
/** Cost of the wait for each adapter slot that an engine lacks. */
export const SLOT_WAIT_COST_MS = 220;
/** Recent requests of this host for an adapter at which the slot cost of each of them is halved. */
export const SLOT_SHARING_REQUESTS = 4;
/** Half-life of the request counts by adapter and base model. */
export const PLACEMENT_POPULARITY_HALF_LIFE_MS = 10_000;
/** Cost of each request that runs on an engine. */
export const RUNNING_REQUEST_COST_MS = 4;
/** Cost of an engine whose load is unknown. */
export const UNKNOWN_LOAD_COST_MS = 300;
/** Timeouts of a route after which no stream that began before can be resumed any more. */
export const STREAM_WINDOW_TIMEOUTS = 2;
/** Length to which ids that callers choose are cut in log lines. */
export const MAX_LOGGED_ID_LENGTH = 64;
/** Requests of a route whose durations are kept, and routes for which they are. */
export const DURATION_SAMPLES = 32;
export const MAX_MEASURED_ROUTES = 1_024;
/**
 * Share of a route's requests that must have taken less than the time that is left to a host that stops,
 * for it to take another one. A request that may be repeated costs its caller less if it is broken off.
 */
export const STOP_DURATION_SHARE = 1;
export const STOP_REPEATABLE_DURATION_SHARE = 0.75;
