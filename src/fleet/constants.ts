/** First time for which an endpoint is passed over after it could not be reached; doubles. */
export const AVOID_BASE_MS = 250;
export const AVOID_MAX_MS = 2_000;
/** Weight of the newest answer in the means of an endpoint. */
export const MEAN_WEIGHT = 0.15;
/** Answer time that is assumed before the first answer. */
export const UNKNOWN_MEAN_MS = 30;
/** Cost of another zone when endpoints are compared, in ms. */
export const FAR_ZONE_MS = 4;
/** Cost of an endpoint that fails every attempt, in ms. */
export const FAILURE_COST_MS = 400;
