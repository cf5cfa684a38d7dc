/** Time in which the hosts of a members row use the limit of an endpoint after one of them left it. */
export const SHARERS_WINDOW_MS = 10_000;
/**
 * Lowest rate at which an endpoint is asked, also if its limit is zero: only an answer tells that it
 * takes more again.
 */
export const MIN_PERMITS_PER_S = 0.2;
/** Time for which unused permits accumulate; at least one permit does. */
export const PERMIT_BURST_MS = 1_000;
/** Share of the time left to a request that it may wait for a permit if no endpoint is without a limit. */
export const MAX_PERMIT_WAIT_SHARE = 0.5;
/** Time ahead up to which the returns of refused callers are spread. */
export const MAX_RETURN_MS = 10_000;
/** Interval of the log lines that tell how much of a limit is used. */
export const LIMIT_REPORT_INTERVAL_MS = 10_000;
/** Most requests that wait for permits of one endpoint. */
export const MAX_QUEUED_PERMITS = 200;
/** Shortest and longest interval at which requests that wait for permits are served. */
export const PERMIT_SERVE_INTERVAL_MS = 10;
export const MAX_SERVE_INTERVAL_MS = 1_000;
/** Time to the deadline below which a queued request is dropped. */
export const MIN_PERMIT_REMAINING_MS = 20;
/** Answer time that is assumed of a brittle endpoint before its first answer to this host. */
export const BRITTLE_MEAN_ANSWER_MS = 100;
