/** Adapters that are on their way to one engine at most; engines take up to 4. */
export const MAX_CONCURRENT_LOADS = 3;
/** Interval of questions about the load of a base model, and the time that it may take. */
export const MODEL_LOAD_CHECK_INTERVAL_MS = 150;
export const MODEL_LOAD_TIMEOUT_MS = 30_000;
/** Pause before the next base model is loaded when the weight store takes no more. */
export const MODEL_LOAD_RETRY_MS = 200;
/** Time for which other loads wait for one. */
export const MAX_MODEL_LOAD_WAIT_MS = 10_000;
/** Age at which what a host told of its engines does not count any more. */
export const REMOTE_STATUS_MAX_AGE_MS = 4_000;
/** Share of the usual time from which on a load was slowed down by others. */
export const SLOW_LOAD_RATIO = 1.4;
/** Time for which as many loads are not tried together again. */
export const SLOW_CONCURRENCY_TTL_MS = 20_000;
/** Share of the usual time up to which a load came from the engine's own disk or memory. */
export const WEIGHT_STORE_LOAD_RATIO = 0.8;
/** Time after which a load is asked about, and the interval of further questions. */
export const LOAD_CHECK_INTERVAL_MS = 30;
/** Time after the order of a load or unload at which the engine's report is read instead of waiting on. */
export const LOAD_OVERDUE_MS = 8_000;
/** Time for which an unload may wait for the requests of its adapter. */
export const UNLOAD_TIMEOUT_MS = 4_000;
/** Age that a report may have; orders since then are not in it. */
export const MAX_ADAPTER_REPORT_AGE_MS = 400;
/** Orders in a row whose answers were lost, after which the engine's report is read. */
export const MAX_LOST_ANSWERS = 4;
/** Time for which an engine may go on with a request that was broken off. */
export const CANCELLED_REQUEST_MAX_RUN_MS = 1_500;
/** Pause before a report that failed is asked for again. */
export const REPORT_RETRY_MS = 500;
/** Pause after an order that the engine did not take; doubles with each one, up to the maximum. */
export const ORDER_RETRY_MS = 60;
export const ORDER_RETRY_MAX_MS = 1_000;
/** Prompt tokens that an engine reads in a ms. */
export const PREFILL_TOKENS_PER_MS = 24;
/** Time that an engine takes for a prompt beyond the reading, for each million token pairs, in ms. */
export const ATTENTION_MS_PER_MILLION_PAIRS = 1.1;
/**
 * Prompt tokens that an engine may have to read at once. It reads them between two events of all its
 * streams, which may pause for 400 ms.
 */
export const MAX_PENDING_PREFILL_TOKENS = 6_500;
/** Time after which a prompt counts as read although its first event was not heard of. */
export const PREFILL_TIMEOUT_MS = 1_500;
/** Share of an engine's memory that requests may fill; beyond it the engine preempts. */
export const USABLE_MEMORY_SHARE = 0.92;
/** Share of the announced output that requests use on average. */
export const EXPECTED_OUTPUT_SHARE = 0.6;
/** Shortest interval at which a queue is served without news. */
export const SERVE_INTERVAL_MS = 25;
/** Time for which a place is kept beyond the deadline of its request. */
export const RESERVATION_GRACE_MS = 500;
/** Advance in the queue that a request loses for each token of its output, in ms, and at most. */
export const QUEUE_DELAY_PER_TOKEN_MS = 0.5;
export const MAX_QUEUE_DELAY_MS = 100;
/** Time that a load from the weight store takes, and that an engine takes for the first event. */
export const EXPECTED_LOAD_MS = 260;
export const EXPECTED_FIRST_EVENT_MS = 40;
/** Rest of a deadline below which a waiting request cannot be answered any more. */
export const MIN_REMAINING_MS = 250;
/** Interval at which hosts tell each other of their engines. */
export const ANNOUNCE_INTERVAL_MS = 150;
/** Interval for each host told, where there are many. */
export const ANNOUNCE_INTERVAL_PER_HOST_MS = 12;
