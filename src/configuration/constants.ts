/** Interval between reads of `configuration/head` by the hosts that poll for their zone. */
export const HEAD_POLL_MS = 500;
/** Interval between reads of `configuration/head` by all other hosts. */
export const HEAD_BACKUP_POLL_MS = 5_000;
/** Revisions read with one scan. */
export const REVISION_SCAN_LIMIT = 200;
export const HEAD_KEY = 'configuration/head';
export const REVISION_PREFIX = 'configuration/change/';
