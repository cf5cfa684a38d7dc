/** Idle time after which a kept connection is closed; below the 5 s after which servers close theirs. */
export const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/** Time to open a connection. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Calls beyond this wait for a connection and count as not sent when their time is over. */
export const MAX_CONNECTIONS_PER_ADDRESS = 256;

export const TABLE_TIMEOUT_MS = 2_000;
export const OBJECT_TIMEOUT_MS = 5_000;
export const HOST_LIST_TIMEOUT_MS = 2_000;
export const LOAD_REPORT_TIMEOUT_MS = 1_000;
/** Longest order to an engine; a takeover waits for it. */
export const ENGINE_ORDER_TIMEOUT_MS = 30_000;

/** A stream without progress for this long is resumed on a fresh connection. */
export const PROGRESS_TIMEOUT_MS = 10_000;
/** Resumptions in a row without a new chunk. */
export const MAX_CONSECUTIVE_RESUMES = 3;
/** Pause before a resumption; doubles with each one that brings no chunk. */
export const RESUME_BACKOFF_BASE_MS = 50;
/** Chunks kept while an earlier one is missing. */
export const MAX_OUT_OF_ORDER_CHUNKS = 256;
/** Time for the connection of a complete stream to end by itself. */
export const DRAIN_TIMEOUT_MS = 1_000;
