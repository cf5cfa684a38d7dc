import type { Topic } from './types.ts';

/**
 * Time that a watch waits for a change. A connection that went silent shows only when the watch is
 * not answered, and a change has to be in force 2 s after the hosts can be reached again.
 */
export const WATCH_WAIT_MS: Record<Topic, number> = {
  operator: 2_500,
  endpoints: 2_500,
  members: 5_000,
};
/**
 * Pause after a watch that brought changes, so that changes that come together cost one call. The
 * entries of engines change with each adapter; a leaving one has to be known within 2 s.
 */
export const WATCH_PAUSE_MS: Record<Topic, number> = {
  operator: 50,
  endpoints: 900,
  members: 50,
};
/** First pause after a failed call; doubles, with full jitter on its second half. */
export const CALL_RETRY_BASE_MS = 150;
export const CALL_RETRY_MAX_MS = 1_000;
/** Interval at which a peer is asked for changes while the directory is away. */
export const PEER_POLL_INTERVAL_MS = 500;
/**
 * Time after the directory came back for which a removed endpoint stays in use: entries that lapsed
 * during an outage return within it when the endpoint lives.
 */
export const EXPIRY_GRACE_MS = 2_200;
/** Longest such stay. An endpoint that leaves must get no new work 2 s after the host heard of it. */
export const MAX_REMOVAL_DEFERRAL_MS = 1_400;
/**
 * Members of an availability zone from which on it is a group of its own. One host of each group
 * watches the directory closely and tells the others what changed, so that the calls grow with the
 * groups and not with the hosts.
 */
export const MIN_ZONE_GROUP_MEMBERS = 6;
/** Interval at which the reader tells that it is in touch with the directory. */
export const READER_HEARTBEAT_INTERVAL_MS = 200;
/** Time without such word after which a host watches the directory itself. */
export const READER_HEARTBEAT_TIMEOUT_MS = 500;
/** Wait and pause of a reader's watches of endpoints. */
export const READER_WATCH_WAIT_MS = 400;
export const READER_WATCH_PAUSE_MS = 400;
/** Time beyond its wait after which a reader whose watch is not answered is not in touch any more. */
export const WATCH_ANSWER_SLACK_MS = 250;
/** Time that a watch waits at a host that is told of changes; it covers for the reader only. */
export const FOLLOWER_WATCH_WAIT_MS = 20_000;
/** Longest pause after watches that keep bringing changes, as while many hosts join. */
export const MAX_WATCH_PAUSE_MS = 800;
/** Time without a change after which such pauses begin anew. */
export const WATCH_PAUSE_RESET_MS = 2_000;
