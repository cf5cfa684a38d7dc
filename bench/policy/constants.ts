/** Simulated duration of a run. */
export const RUN_MS = 180_000;
/** Start of a run that is not measured, because engines start without adapters. */
export const WARM_UP_MS = 30_000;
/** Batch slots of an engine. */
export const BATCH = 16;
/** Duration of an engine step: a base and an addition per running request, for which it generates one token. */
export const STEP_BASE_MS = 20;
export const STEP_PER_REQUEST_MS = 0.5;
/** Prompt tokens of one request that a step prefills. */
export const PREFILL_TOKENS_PER_STEP = 512;
/** Duration of a load at full speed, and number of concurrent loads up to which it holds (design 1.6). */
export const LOAD_MS = 250;
export const FULL_SPEED_LOADS = 8;
/** Burst limit of load starts of the weight store. */
export const STORE_BURST = 8;
export const UNLOAD_MS = 10;
/** Age of an engine report on arrival. */
export const REPORT_LAG_MS = 200;
/** Time after which the drafts module retries a failed draft. */
export const DRAFT_RETRY_MS = 1_000;
export const ADAPTERS_PER_DEPLOYMENT = 3_000;
export const SAME_ZONE_LATENCY_MS = 0.2;
