/**
 * Time without a confirmation of the operator's entries after which a key that is unknown may be new, so that
 * its requests are refused for now and not for good.
 */
export const UNCONFIRMED_AFTER_MS = 3_000;
/** Share of the time for which keys hold without proof that a host uses; the rest is for the request's way. */
export const KEY_AGE_SHARE = 0.9;
/** Time after which the caller of a refused request should try another host, in seconds. */
export const UNPROVEN_RETRY_AFTER_S = 0.25;
