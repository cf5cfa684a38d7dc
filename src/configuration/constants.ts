/** Interval between reads of `configuration/head` by the hosts that poll for their zone. */
export const HEAD_POLL_MS = 500;
/** Interval between reads of `configuration/head` by all other hosts. */
export const HEAD_BACKUP_POLL_MS = 5_000;
/** Revisions read with one scan. */
export const REVISION_SCAN_LIMIT = 200;
export const HEAD_KEY = 'configuration/head';
export const REVISION_PREFIX = 'configuration/change/';
export const SNAPSHOT_PREFIX = 'configuration/snapshot/';
/** Revisions between two snapshots in the object store. */
export const SNAPSHOT_INTERVAL_REVISIONS = 200;
/** Time after which a failed write of a snapshot is repeated. */
export const SNAPSHOT_RETRY_MS = 5_000;
/** Hosts of a zone that poll at `HEAD_POLL_MS`. */
export const POLLERS_PER_ZONE = 2;
/** Time after which an unanswered read of the configuration is sent again. */
export const READ_TIMEOUT_MS = 10_000;
/** Time between two questions to peers; a whole configuration may be on its way meanwhile. */
export const PEER_REQUEST_INTERVAL_MS = 2_000;
/** Revisions kept in memory for peers that are behind. */
export const MAX_RECENT_REVISIONS = 200;
/** Changes that one message between hosts may carry; keeps messages well under 1 MiB. */
export const MAX_CHANGES_PER_MESSAGE = 500;
export const PLAN_PREFIX = 'plan/';
export const AUDIT_PREFIX = 'audit/';
