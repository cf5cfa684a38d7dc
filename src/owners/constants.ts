/** Upper bound of the random delay before a host joins, to avoid concurrent writes at start-up. */
export const MAX_JOIN_JITTER_MS = 400;
/**
 * Initial upper bound of the random delay before a write of the members row is retried. It doubles
 * with each failure up to `WRITE_RETRY_MAX_MS`, so that hosts that join together do not keep
 * conflicting. The maximum is shorter than `REFUTE_TIMEOUT_MS`, since a suspected member has to write
 * its refutation within that time.
 */
export const WRITE_RETRY_BASE_MS = 300;
export const WRITE_RETRY_MAX_MS = 1_800;
/** Time for which requests to join are collected, so that hosts that start together cost one write. */
export const JOIN_BATCH_MS = 150;
/** Interval at which a host asks again to be added, and the time after which it writes the row itself. */
export const JOIN_REPEAT_MS = 400;
export const JOIN_TIMEOUT_MS = 1_200;
/**
 * Interval at which a host that wants to join looks for a link to a member, and the time after which it writes
 * the row itself if it has none.
 */
export const JOIN_LINK_CHECK_MS = 100;
export const JOIN_LINK_TIMEOUT_MS = 500;
/** Interval at which a host checks the members and its own entry. */
export const MAINTAIN_INTERVAL_MS = 500;
/**
 * Engines of a zone per owner above which a standby host of the zone becomes an owner. There are few
 * owners because a standby host can restart without a change of owner; such a change stops the orders
 * to an engine for 3 s.
 */
export const MAX_ENGINES_PER_OWNER = 6;
/** Time after which a member with a closed link is suspected to have failed. */
export const SUSPECT_AFTER_MS = 1_000;
/** Time for a suspected member to refute; its watch of the members row answers within it. */
export const REFUTE_TIMEOUT_MS = 2_500;
/** Additional time before a member that refuted a suspicion is suspected again. */
export const SUSPICION_COOLDOWN_MS = 5_000;
/**
 * Time for which a new owner issues no orders after the last possible order of its predecessor.
 * Engines treat orders from two hosts within 3 s as a conflict.
 */
export const TAKEOVER_WAIT_MS = 3_300;
/** Epochs that are reserved for each restore of the directory from an older copy. */
export const EPOCHS_PER_RESTORE = 1_000_000;
/** Time without a direct path to an engine after which its owner lists it as unreachable. */
export const UNREACHABLE_AFTER_MS = 400;
/** Time with a direct path after which an engine is no longer listed, so that ownership does not flap. */
export const REACHABLE_AFTER_MS = 3_000;
/** Engines that one member lists as unreachable. */
export const MAX_UNREACHABLE_ENGINES = 32;
