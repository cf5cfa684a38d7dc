/** Time within which a grant must be used, counted by the asker from its receipt. */
export const GRANT_USE_MS = 2_000;
/** Time an engine may take to end a cancelled request. */
export const ENGINE_CANCEL_MS = 2_000;
/** Time a freshly loaded adapter stays before it may be evicted. */
export const MIN_RESIDENCY_MS = 2_000;
/** Greatest age of an engine's report; later changes by orders are not in it yet. */
export const REPORT_LAG_MS = 3_000;
/** Largest number of load tokens an engine's bucket holds. */
export const LOAD_BURST = 4;
