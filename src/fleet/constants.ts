/** First time for which an endpoint is passed over after it could not be reached; doubles. */
export const ENDPOINT_BACKOFF_BASE_MS = 250;
export const ENDPOINT_BACKOFF_MAX_MS = 2_000;
/** Weight of the newest answer in the means of an endpoint. */
export const EWMA_WEIGHT = 0.15;
/** Answer time that is assumed before the first answer. */
export const INITIAL_MEAN_ANSWER_MS = 30;
/** Cost of another zone when endpoints are compared, in ms. */
export const CROSS_ZONE_COST_MS = 4;
/** Cost of an endpoint that fails every attempt, in ms. */
export const FAILURE_COST_MS = 400;
