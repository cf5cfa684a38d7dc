/** Simulated time of one run, and the part at its start that is not measured (engines start empty). */
export const RUN_MS = 180_000;
export const WARM_UP_MS = 30_000;
/** Places in an engine's batch. */
export const BATCH = 16;
/** One step of an engine: one token for each running request. */
export const STEP_BASE_MS = 20;
export const STEP_PER_REQUEST_MS = 0.5;
/** Prompt tokens that one step prefills. */
export const PREFILL_TOKENS_PER_STEP = 512;
/** Duration of a load at full speed, and loads in flight up to which the speed is full (design 1.6). */
export const LOAD_MS = 250;
export const FULL_SPEED_LOADS = 8;
/** Loads that the weight store starts at once after a quiet time. */
export const STORE_BURST = 8;
export const UNLOAD_MS = 10;
/** Age of an engine's report when it arrives. */
export const REPORT_LAG_MS = 200;
/** Time after which the drafts module submits a failed draft again. */
export const DRAFT_RETRY_MS = 1_000;
export const ADAPTERS_PER_DEPLOYMENT = 3_000;
export const SAME_ZONE_LATENCY_MS = 0.2;
