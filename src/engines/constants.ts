/** Interval at which the load report of an owned engine is read. */
export const ENGINE_POLL_INTERVAL_MS = 500;
/**
 * Age after which the load of an engine in another zone counts as unknown. Relays send every 5 s,
 * and two of three messages may be lost.
 */
export const REMOTE_REPORT_MAX_AGE_MS = 15_500;
