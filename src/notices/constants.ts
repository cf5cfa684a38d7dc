/** Shortest interval between two announcements of what endpoints said of themselves. */
export const ANNOUNCE_INTERVAL_MS = 200;
/**
 * Longest time for which an endpoint gets nothing because it asked for that, so that no value shuts it
 * out for long: until the first trial, and after a trial that it turned away as well.
 */
export const MAX_PAUSE_MS = 10_000;
export const MAX_PAUSE_AFTER_TRIAL_MS = 600_000;
/** Shortest interval between log lines about malformed notices of one endpoint. */
export const MALFORMED_LOG_INTERVAL_MS = 10_000;
/** Length to which values that could not be read are cut in log lines. */
export const MAX_LOGGED_VALUE_LENGTH = 40;
/** Requests that may wait at a brittle endpoint, as a share of those that it works on. */
export const BRITTLE_QUEUE_SHARE = 0.25;
/** Time without a refusal after which one more request may be under way to a brittle endpoint. */
export const BRITTLE_RECOVERY_MS = 2_000;
