/** Most adapters that load on one engine at once; engines accept up to 4. */
export const MAX_CONCURRENT_LOADS = 3;
/** Interval of status checks of a base model load, and its time limit. */
export const MODEL_LOAD_CHECK_INTERVAL_MS = 150;
export const MODEL_LOAD_TIMEOUT_MS = 30_000;
/** Mean pause before another base model load is tried when no more loads may start. */
export const MODEL_LOAD_RETRY_MS = 200;
/** Age at which a base model load no longer counts against the limit on concurrent loads. */
export const COUNTED_MODEL_LOAD_MAX_AGE_MS = 10_000;
/** Age beyond which an announced engine status is ignored. */
export const REMOTE_STATUS_MAX_AGE_MS = 4_000;
/** Ratio of actual to usual load time above which concurrent loads slowed a load down. */
export const SLOW_LOAD_RATIO = 1.4;
/** Time for which a number of concurrent loads that was too slow is not tried again. */
export const SLOW_CONCURRENCY_TTL_MS = 20_000;
/**
 * Ratio of actual to usual load time above which a load came from the weight store; below it, the
 * engine loaded from its own disk or memory.
 */
export const WEIGHT_STORE_LOAD_RATIO = 0.8;
/** Interval at which the order of a load or unload is repeated to check its progress. */
export const LOAD_CHECK_INTERVAL_MS = 30;
/** Age of a load or unload order beyond which the engine's report is read instead. */
export const LOAD_OVERDUE_MS = 8_000;
/** Time for which an unload may wait for running requests of its adapter. */
export const UNLOAD_TIMEOUT_MS = 4_000;
/** Largest age of an engine's report; it does not show orders issued since. */
export const MAX_ADAPTER_REPORT_AGE_MS = 400;
/** Consecutive orders without an answer after which the engine's report is read. */
export const MAX_LOST_ANSWERS = 4;
/** Time for which an engine may continue a request that was cancelled. */
export const CANCELLED_REQUEST_MAX_RUN_MS = 1_500;
/** Pause before a report is read again after a failure. */
export const REPORT_RETRY_MS = 500;
/** Backoff after an order that the engine refused; doubles with each refusal, up to the maximum. */
export const ORDER_RETRY_MS = 60;
export const ORDER_RETRY_MAX_MS = 1_000;
/** Interval of calls over each order connection; shorter than the idle time after which it is closed. */
export const ORDER_KEEP_ALIVE_INTERVAL_MS = 2_000;
/** Prefill throughput of an engine. */
export const PREFILL_TOKENS_PER_MS = 24;
/** Additional prefill time of a prompt for each million token pairs (quadratic attention cost). */
export const ATTENTION_MS_PER_MILLION_PAIRS = 1.1;
/**
 * Most prompt tokens that wait for prefill on an engine at once. The engine processes them between two events of all
 * its streams, whose pauses may last up to 400 ms.
 */
export const PREFILL_BUDGET_TOKENS = 6_500;
/** Share of the budget from which on a prompt is long. */
export const LONG_PROMPT_SHARE = 0.5;
/** Share of the budget that short prompts have beside a long one. */
export const SHORT_PROMPT_RESERVE = 0.25;
/** Cost of each running request when an owner compares its engines. */
export const RUNNING_REQUEST_START_MS = 2;
/** Cost of loading an adapter on an engine that its host did not choose, beside the load. */
export const ABSENT_ADAPTER_COST_MS = 150;
/** Time that another engine must save for a request to be moved there. */
export const MIN_SAVING_MS = 10;
/** Share of the time until its first event is late that a long prompt may wait to join others. */
export const GATHERING_SLACK_SHARE = 0.4;
/** Time before its latest start from which on a request no longer waits for shorter ones. */
export const URGENT_MS = 150;
/** Half-life of the tokens that an engine granted to a tenant, and the excess over its share that counts. */
export const TENANT_USE_HALF_LIFE_MS = 2_000;
export const OVERUSE_RATIO = 1.25;
/** Time after which prefill counts as completed even if no first event was reported. */
export const PREFILL_TIMEOUT_MS = 1_500;
/** Share of an engine's memory that reservations may fill; above it the engine preempts requests. */
export const USABLE_MEMORY_SHARE = 0.92;
/** Average share of the announced output tokens that requests generate. */
export const EXPECTED_OUTPUT_SHARE = 0.6;
/** Interval at which a queue is served when no event triggers it. */
export const SERVE_INTERVAL_MS = 25;
/** Time for which a reservation is kept after the deadline of its request. */
export const RESERVATION_GRACE_MS = 500;
/** Delay in the queue order for each output token of a request, and its maximum. */
export const QUEUE_DELAY_PER_TOKEN_MS = 0.5;
export const MAX_QUEUE_DELAY_MS = 100;
/** Expected time of an adapter load from the weight store, and of the first event after prefill. */
export const EXPECTED_LOAD_MS = 260;
export const EXPECTED_FIRST_EVENT_MS = 40;
/** Remaining time to the deadline below which a queued request is dropped. */
export const MIN_REMAINING_MS = 250;
/** Recent requests for an adapter from which on it is relocated when its engine leaves. */
export const MIN_RELOCATED_DEMAND = 1;
/** Time after which a relocated adapter that was not loaded is left until it is asked for. */
export const WANTED_ADAPTER_TTL_MS = 2_000;
/** Interval between announcements of engine status. */
export const ANNOUNCE_INTERVAL_MS = 150;
/** Announcement interval for each linked host; applies when it gives a longer interval in total. */
export const ANNOUNCE_INTERVAL_PER_HOST_MS = 12;
