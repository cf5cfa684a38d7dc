/** Records that one host keeps; the oldest are dropped beyond it. */
export const MAX_STREAM_RECORDS = 10_000;
/** Longest time for which a record is kept after its last update, if the caller names no limit. */
export const MAX_STREAM_RECORD_AGE_MS = 60_000;
/** Hosts to which the record of a stream is copied, in the zone of its host and in other zones. */
export const RECORD_COPIES_IN_ZONE = 1;
export const RECORD_COPIES_IN_OTHER_ZONES = 2;
/**
 * Hosts that are asked for a record. More than have copies, since hosts that see other members choose
 * other hosts for the copies.
 */
export const LOOKUP_HOSTS_IN_ZONE = 3;
export const LOOKUP_HOSTS_IN_OTHER_ZONES = 5;
/** Time within which hosts must answer; a busy host takes a few ms. */
export const STREAM_LOOKUP_TIMEOUT_MS = 250;
/** Newest records that are sent to a host whose link opened. */
export const MAX_SENT_STREAM_RECORDS = 100;
/** Hosts whose hashes are kept, including those that are gone. */
export const MAX_HOST_HASHES = 4_096;
/** Former software versions that are kept of each service. */
export const MAX_FORMER_VERSIONS = 8;
/**
 * Change of the share of a software version from which on the split is changed; resumed streams whose
 * version differs between the two splits can't be derived for a time.
 */
export const MIN_SHARE_CHANGE = 0.25;
/** Shortest and longest delay between a change of endpoints and the check of the splits. */
export const MIN_SPLIT_DELAY_MS = 50;
export const MAX_SPLIT_DELAY_MS = 500;
/** Time after a change of a split within which hosts learn of it. */
export const SPLIT_LAG_MS = 2_000;
/** Time for which a split that was replaced is kept, and the most splits of a service. */
export const SPLIT_AGE_MS = 120_000;
export const MAX_SPLITS = 8;
/** Longest time for which a request waits until its host is known to have the newest endpoints. */
export const MAX_CONFIRMATION_WAIT_MS = 600;
/** Interval at which it is checked whether that is known. */
export const CONFIRMATION_CHECK_MS = 50;
/**
 * Time after the arrival of a request from which on confirmations count: messages that were sent while this
 * host stood still arrive at once when it goes on.
 */
export const CONFIRMATION_MARGIN_MS = 30;
