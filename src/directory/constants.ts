import type { Topic } from './types.ts';

/**
 * Time that a watch (long poll) waits for a change. A broken connection is detected only when the
 * watch is not answered, and a change must apply within 2 s after hosts are reachable again.
 */
export const WATCH_WAIT_MS: Record<Topic, number> = {
  operator: 2_500,
  endpoints: 2_500,
  members: 5_000,
};
/**
 * Pause after a watch that returned changes, so that changes close together cost one call. Entries
 * of engines change with each adapter; that an engine is leaving must be known within 2 s.
 */
export const WATCH_PAUSE_MS: Record<Topic, number> = {
  operator: 50,
  endpoints: 900,
  members: 50,
};
/** First pause after a failed call; doubles up to the maximum, with jitter on its second half. */
export const CALL_RETRY_BASE_MS = 150;
export const CALL_RETRY_MAX_MS = 1_000;
/** Longest pause after a failed call while a reader announces the changes. */
export const COVERED_CALL_RETRY_MS = 2_000;
/** Interval at which a peer is asked for changes while the directory is unavailable. */
export const PEER_POLL_INTERVAL_MS = 500;
/**
 * Time after the directory recovered for which a removed endpoint stays in use: a live endpoint
 * whose entry expired during the outage registers again within it.
 */
export const EXPIRY_GRACE_MS = 2_200;
/**
 * Longest deferral of a removal. An endpoint that leaves must get no new requests 2 s after the
 * host learned of it.
 */
export const MAX_REMOVAL_DEFERRAL_MS = 1_400;
/**
 * Number of members from which on an availability zone is a group of its own. One host of each
 * group, the reader, watches the directory closely and announces changes to the others, so that the
 * number of calls grows with the groups and not with the hosts.
 */
export const MIN_ZONE_GROUP_MEMBERS = 6;
/** Interval at which a reader whose directory calls succeed sends heartbeats to its followers. */
export const READER_HEARTBEAT_INTERVAL_MS = 200;
/** Time without a reader heartbeat after which a host watches the directory itself. */
export const READER_HEARTBEAT_TIMEOUT_MS = 500;
/** Time for which a host that sent no heartbeats as a reader is passed over. */
export const READER_AVOIDED_MS = 8_000;
/**
 * Wait of a reader's watches while it has followers. A watch that is not answered stops the heartbeats, upon which
 * followers have to learn of a change by themselves in time.
 */
export const READER_WATCH_WAIT_MS: Record<Topic, number> = {
  operator: 500,
  endpoints: 400,
  members: 1_000,
};
/** Pause between a reader's watches of endpoints while it has followers. */
export const READER_WATCH_PAUSE_MS = 400;
/** Time beyond its wait after which an unanswered watch stops the heartbeats of a reader. */
export const WATCH_ANSWER_SLACK_MS = 250;
/** Time that a follower's watch waits for a change where a reader of an earlier version does not announce it. */
export const FOLLOWER_WATCH_WAIT_MS = 20_000;
/**
 * Bytes of one change that a reader sends to all its followers together; larger ones are read from the directory. A
 * slow link (10 Mbit/s) carries them within the interval of heartbeats.
 */
export const MAX_ANNOUNCED_BYTES = 256 * 1024;
/** Time between requests to other hosts for large changes that the directory does not deliver. */
export const WHOLE_REQUEST_INTERVAL_MS = 1_000;
/** Longest pause between watches that keep returning changes, for example while many hosts join. */
export const MAX_WATCH_PAUSE_MS = 800;
/** The same for a reader, whose followers learn of a change after the pause. */
export const MAX_READER_WATCH_PAUSE_MS = 400;
/**
 * Age of what a follower knows of a topic from which on it asks the directory itself. It is longer than a reader's wait
 * and pause with an interval of heartbeats; with a round and a call, a change applies within 2 s.
 */
export const MAX_COVERED_AGE_MS: Record<Topic, number> = {
  operator: 1_300,
  endpoints: 1_300,
  members: 3_000,
};
/** Highest difference between the rates of two clocks that are kept in step, as a share of the time. */
export const MAX_CLOCK_DRIFT = 0.0005;
/** Time without a change after which the pause between watches starts from its base again. */
export const WATCH_PAUSE_RESET_MS = 2_000;
