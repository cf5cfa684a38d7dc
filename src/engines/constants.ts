/** Interval between reads of the load report of an owned engine. */
export const ENGINE_POLL_MS = 500;
/** Age after which a load report no longer counts. */
export const REPORT_MAX_AGE_MS = 5_000;
