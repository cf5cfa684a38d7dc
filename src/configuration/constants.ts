/** Interval between reads of `configuration/head` by the hosts that poll for their zone. */
export const HEAD_POLL_MS = 500;
/** Interval between reads of `configuration/head` by all other hosts. */
export const HEAD_BACKUP_POLL_MS = 5_000;
/** Maximum number of revisions read with one scan. */
export const REVISION_SCAN_LIMIT = 200;
export const HEAD_KEY = 'configuration/head';
export const REVISION_PREFIX = 'configuration/change/';
export const SNAPSHOT_PREFIX = 'configuration/snapshot/';
/** Number of revisions between two snapshots in the object store. */
export const SNAPSHOT_INTERVAL_REVISIONS = 200;
/** Delay before a failed write of a snapshot is retried. */
export const SNAPSHOT_RETRY_MS = 5_000;
/** Number of hosts in each zone that poll every `HEAD_POLL_MS`. */
export const POLLERS_PER_ZONE = 2;
/** Time after which an unanswered read of the head, of revisions or of a snapshot is sent again. */
export const READ_TIMEOUT_MS = 10_000;
/** Minimum time between requests to peers; the answer can be a whole configuration and slow. */
export const PEER_REQUEST_INTERVAL_MS = 2_000;
/** Number of revisions kept in memory for peers that are behind. */
export const MAX_RECENT_REVISIONS = 200;
/** Maximum number of changes in one message between hosts; keeps messages well under 1 MiB. */
export const MAX_CHANGES_PER_MESSAGE = 500;
export const PLAN_PREFIX = 'plan/';
export const AUDIT_PREFIX = 'audit/';
