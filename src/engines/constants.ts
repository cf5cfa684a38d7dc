/** Interval between reads of the load report of an owned engine. */
export const ENGINE_POLL_MS = 500;
/** Age after which a load report no longer counts. */
export const REPORT_MAX_AGE_MS = 5_000;
/**
 * Time for which the changes of owned engines are collected before they are sent, for each linked
 * host: with 48 links one message a second to each keeps a host below 8 KB/s.
 */
export const ANNOUNCE_MS_PER_LINK = 20;
export const ANNOUNCE_MIN_MS = 5;
export const ANNOUNCE_MAX_MS = 1_000;
/** An engine without changes is announced again after this time, so that a lost delta is noticed. */
export const ANNOUNCE_AGAIN_MS = 10_000;
/** Change of an engine's load that is announced, as a share of its batch. */
export const ANNOUNCED_LOAD_SHARE = 0.125;
