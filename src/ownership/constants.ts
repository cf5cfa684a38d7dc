export const LEASE_RENEWAL_INTERVAL_MS = 5_000;
/** Lease lifetime; the holder counts it from the time at which it sent the renewal. */
export const LEASE_TTL_MS = 15_000;
/** Factor by which other hosts extend a lease or promise, as clocks run at different rates. */
export const CLOCK_DRIFT_FACTOR = 1.2;
/** Longer gaps between two turns of the event loop count as a pause of the process. */
export const PAUSE_THRESHOLD_MS = 1_000;
/**
 * Interval of the `ownershipTick` timer; shorter than `PAUSE_THRESHOLD_MS`, so that an idle event loop
 * does not count as paused.
 */
export const TICK_INTERVAL_MS = 500;
/** Interval of attempts while renewals fail. */
export const RENEWAL_RETRY_MS = 1_000;
/** Age at which an unanswered renewal is abandoned. */
export const RENEWAL_TIMEOUT_MS = 10_000;
/** A longer gap between lease scans restarts the silence timers of all observed leases. */
export const MAX_LEASE_SCAN_GAP_MS = 12_000;
/** Lifetime of a promise not to remove a member. */
export const PROMISE_TTL_MS = 15_000;
export const PROMISE_REQUEST_INTERVAL_MS = 4_000;
/** Remaining lease time below which a host requests promises. */
export const PROMISE_REQUEST_LEAD_MS = 7_000;
/** Longest duration of an order to an engine. */
export const MAX_ORDER_MS = 30_000;
/**
 * Wait before a new owner gives destructive orders without a handover: longest order 30 s, use of a
 * grant 2 s, lag of the engine's report 3 s.
 */
export const DESTRUCTIVE_ORDER_WAIT_MS = 35_000;
/** Time after which no request of a predecessor can run: 120 s deadline, 2 s cancellation. */
export const PREDECESSOR_REQUESTS_WAIT_MS = DESTRUCTIVE_ORDER_WAIT_MS + 122_000;
/** Interval of requests for a handover that has not arrived. */
export const HANDOVER_REQUEST_INTERVAL_MS = 1_000;
/** Time for which a host keeps an outgoing handover so that it can send it again. */
export const HANDOVER_RETENTION_MS = 60_000;
/** Time for which a host that left waits for acknowledgements of its handovers. */
export const HANDOVER_ACK_TIMEOUT_MS = 2_000;
/** Zone rows kept to determine the owner of an engine at earlier epochs. */
export const MAX_HISTORY_ROWS = 32;
/** Rows per announcement, so that a host that missed a row still learns the owners in between. */
export const MAX_ANNOUNCED_ROWS = 3;
/** Interval of scans of the rows of all zones. */
export const ZONE_SCAN_INTERVAL_MS = 60_000;
/** Upper bound of the random delay before the zone row is read again after a conflict. */
export const MAX_CONFLICT_BACKOFF_MS = 200;
/** Time without renewal after which the lease row of a non-member is deleted. */
export const LEASE_ROW_RETENTION_MS = 600_000;
export const MAX_SCAN_ROWS = 1_000;
export const ZONE_KEY_PREFIX = 'zone/';
