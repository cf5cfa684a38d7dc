/** Largest random delay before a host joins, so that hosts that start together do not collide. */
export const MAX_JOIN_JITTER_MS = 400;
/**
 * Largest random pause before a write of the members row is tried again; doubles with each failure,
 * so that many hosts that join together do not keep each other from it. A suspected member has to
 * object within `OBJECT_WITHIN_MS`.
 */
export const WRITE_RETRY_BASE_MS = 300;
export const WRITE_RETRY_MAX_MS = 1_800;
/** Interval of checks of the members that cannot be heard. */
export const MAINTAIN_INTERVAL_MS = 500;
/**
 * Engines of a zone for each of its owners. Hosts that stand by can be restarted without a change of
 * owner, which stops the orders to an engine for 3 s.
 */
export const MAX_ENGINES_PER_OWNER = 6;
/** Time after its link closed at which a member is suspected of being gone. */
export const SUSPECT_AFTER_MS = 1_000;
/** Time that a suspected member has to object; a watch of the members row answers within it. */
export const REFUTE_TIMEOUT_MS = 2_500;
/** Pause before a member that objected is suspected again. */
export const SUSPICION_COOLDOWN_MS = 5_000;
/**
 * Time for which a new owner gives no orders after the last possible order of its predecessor. The
 * engines take orders of two hosts within 3 s for a conflict.
 */
export const TAKEOVER_WAIT_MS = 3_300;
