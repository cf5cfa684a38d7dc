/** Time for which a relay that failed is not chosen again. */
export const RELAY_AVOIDANCE_MS = 2_000;
/** Time for which a host that declined to relay to one endpoint is the last choice for the others. */
export const DECLINED_PREFERENCE_MS = 6_000;
/** Interval between probes of the endpoints that this host can't reach directly, one endpoint each. */
export const PROBE_INTERVAL_MS = 500;
/** Time within which an endpoint must answer a probe. */
export const PROBE_TIMEOUT_MS = 400;
/** The same while nothing else tells that the endpoint can't be reached; a sound one answers in a few ms. */
export const SILENCE_PROBE_TIMEOUT_MS = 250;
/** Time within which an engine must answer a check of its order connection; shorter than the interval of checks. */
export const ORDER_CHECK_TIMEOUT_MS = 400;
/**
 * Time within which two endpoints must become unreachable, with no answer of any between, for all to be taken
 * for unreachable.
 */
export const COMMON_FAILURE_WINDOW_MS = 1_000;
/** Changes of its path for which a request is sent to the same endpoint again. */
export const MAX_PATH_CHANGES = 8;
/**
 * Time without a byte of any endpoint, while attempts wait for answers, after which the path to the endpoints
 * is taken for silent. An attempt that waited so long is broken off when its path turns out to be lost.
 */
export const PATH_SILENCE_MS = 400;
/** Hosts that are asked in turn whether they reach an engine, after each probe. */
export const MAX_HOSTS_ASKED = 8;
/** Endpoints that one log line names. */
export const MAX_LOGGED_ENDPOINTS = 8;
