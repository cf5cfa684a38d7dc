/** Interval of lease renewals. */
export const LEASE_RENEW_MS = 5_000;
/** Time for which a lease holds, counted by its holder from the sending of the renewal. */
export const LEASE_TTL_MS = 15_000;
/** Factor by which a watcher waits longer, for clocks that run at different speeds. */
export const WATCH_FACTOR = 1.2;
/** Gap between two turns of the loop that counts as a pause. */
export const PAUSE_MS = 1_000;
/** Interval of the timer that keeps the loop turning. */
export const TURN_MS = 500;
/** Interval of tries while renewals fail. */
export const RENEW_RETRY_MS = 1_000;
/** Age after which an unanswered renewal is given up. */
export const RENEW_GIVE_UP_MS = 10_000;
/** Gap between reads of the leases after which silence is counted anew. */
export const WATCH_GAP_MS = 12_000;
/** Longest promise not to remove a member. */
export const PROMISE_MS = 15_000;
/** Interval between asks for promises. */
export const PROMISE_ASK_MS = 4_000;
/** Rest of the lease below which promises are asked for. */
export const PROMISE_BEFORE_MS = 7_000;
/** Longest time an order to an engine can take. */
export const LONGEST_ORDER_MS = 30_000;
/** Longest order 30 s, use of a grant 2 s, lag of the engine's report 3 s. */
export const TAKEOVER_WAIT_MS = 35_000;
/** Time after which no request of a predecessor can be running: deadline 120 s, cancel 2 s. */
export const PREDECESSOR_GONE_MS = TAKEOVER_WAIT_MS + 122_000;
/** Interval between asks for a handover that has not arrived. */
export const HANDOVER_ASK_MS = 1_000;
/** Time for which pins that were handed over are kept to be sent again. */
export const HANDOVER_KEEP_MS = 60_000;
/** Time that a leaving host waits for its handovers to be acknowledged. */
export const LEAVE_WAIT_MS = 2_000;
/** Zone rows kept to know who owned an engine at an earlier epoch. */
export const HISTORY_ROWS = 32;
/** Rows told at once, so that a host that missed one still sees the owners in between. */
export const TOLD_ROWS = 3;
/** Interval of reads of all zones' rows. */
export const ZONE_SCAN_MS = 60_000;
/** Largest pause before the zone row is read again after a conflict. */
export const CONFLICT_PAUSE_MS = 200;
/** Silence after which the lease row of a host that is no member is deleted. */
export const LEASE_FORGET_MS = 600_000;
export const LEASE_SCAN_LIMIT = 1_000;
export const ZONE_PREFIX = 'zone/';
