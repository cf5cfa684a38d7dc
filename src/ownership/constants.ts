/** Interval of lease renewals. */
export const LEASE_RENEWAL_INTERVAL_MS = 5_000;
/** Time for which a lease holds, counted by its holder from the sending of the renewal. */
export const LEASE_TTL_MS = 15_000;
/** Factor by which a watcher waits longer, for clocks that run at different speeds. */
export const CLOCK_DRIFT_FACTOR = 1.2;
/** Gap between two turns of the loop that counts as a pause. */
export const PAUSE_THRESHOLD_MS = 1_000;
/** Interval of the timer that keeps the loop turning. */
export const TICK_INTERVAL_MS = 500;
/** Interval of tries while renewals fail. */
export const RENEWAL_RETRY_MS = 1_000;
/** Age after which an unanswered renewal is given up. */
export const RENEWAL_TIMEOUT_MS = 10_000;
/** Gap between reads of the leases after which silence is counted anew. */
export const MAX_LEASE_SCAN_GAP_MS = 12_000;
/** Longest promise not to remove a member. */
export const PROMISE_TTL_MS = 15_000;
/** Interval between asks for promises. */
export const PROMISE_REQUEST_INTERVAL_MS = 4_000;
/** Rest of the lease below which promises are asked for. */
export const PROMISE_REQUEST_LEAD_MS = 7_000;
/** Longest time an order to an engine can take. */
export const MAX_ORDER_MS = 30_000;
/** Longest order 30 s, use of a grant 2 s, lag of the engine's report 3 s. */
export const DESTRUCTIVE_ORDER_WAIT_MS = 35_000;
/** Time after which no request of a predecessor can be running: deadline 120 s, cancel 2 s. */
export const PREDECESSOR_REQUESTS_WAIT_MS = DESTRUCTIVE_ORDER_WAIT_MS + 122_000;
/** Interval between asks for a handover that has not arrived. */
export const HANDOVER_REQUEST_INTERVAL_MS = 1_000;
/** Time for which pins that were handed over are kept to be sent again. */
export const HANDOVER_RETENTION_MS = 60_000;
/** Time that a leaving host waits for its handovers to be acknowledged. */
export const HANDOVER_ACK_TIMEOUT_MS = 2_000;
/** Zone rows kept to know who owned an engine at an earlier epoch. */
export const MAX_HISTORY_ROWS = 32;
/** Rows told at once, so that a host that missed one still sees the owners in between. */
export const MAX_ANNOUNCED_ROWS = 3;
/** Interval of reads of all zones' rows. */
export const ZONE_SCAN_INTERVAL_MS = 60_000;
/** Largest pause before the zone row is read again after a conflict. */
export const MAX_CONFLICT_BACKOFF_MS = 200;
/** Silence after which the lease row of a host that is no member is deleted. */
export const LEASE_ROW_RETENTION_MS = 600_000;
export const MAX_SCAN_ROWS = 1_000;
export const ZONE_KEY_PREFIX = 'zone/';
