/**
 * Time for which requests must have waited without a break for the host to count as overloaded. A short
 * stop of the process, after which it catches up, is no overload.
 */
export const OVERLOAD_AFTER_MS = 200;
/** Longest wait of a request at an overloaded host, and the share of its time that it may wait. */
export const MAX_WAIT_MS = 250;
export const MAX_WAIT_SHARE = 0.25;
/**
 * Share of the requests whose callers had left before their turn, from which on a host is late; it is an
 * average in which each request weighs so much.
 */
export const LATE_SHARE = 0.5;
export const LATE_WEIGHT = 0.1;
/**
 * Shortest `Retry-After` of a rejected request, and the time over which the returns are spread beyond it.
 * Callers try another host, and the requests that wait here are taken or rejected within MAX_WAIT_MS.
 */
export const MIN_RETURN_MS = 125;
export const RETURN_SPREAD_MS = MAX_WAIT_MS;
/**
 * Largest share of a caller's time that is taken for passed when its request is read: the delay of the
 * reading is an upper bound, and the caller has not left.
 */
export const MAX_READ_DELAY_SHARE = 0.5;
