/** Interval between reads of the load report of an owned engine. */
export const ENGINE_POLL_INTERVAL_MS = 500;
/**
 * Age after which the load of an engine of another zone is unknown. Relays send every 5 s, and two
 * of three messages may be lost.
 */
export const REMOTE_REPORT_MAX_AGE_MS = 15_500;
