/** Backoff of an endpoint after an unanswered attempt; doubles with each one, up to the maximum. */
export const ENDPOINT_BACKOFF_BASE_MS = 250;
export const ENDPOINT_BACKOFF_MAX_MS = 2_000;
/** Weight of the newest sample in the exponentially weighted means of an endpoint. */
export const EWMA_WEIGHT = 0.15;
/** Answer time that is assumed before the first answer of an endpoint. */
export const INITIAL_MEAN_ANSWER_MS = 30;
/** Cost added to endpoints of other zones. */
export const CROSS_ZONE_COST_MS = 4;
/** Cost added to an endpoint that fails every attempt; scaled by its failure rate. */
export const FAILURE_COST_MS = 400;
