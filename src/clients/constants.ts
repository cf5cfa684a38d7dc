/** Highest status of an HTTP answer. */
export const MAX_STATUS = 599;

/** Idle time after which a connection is closed; shorter than the 5 s after which servers close it. */
export const KEEP_ALIVE_TIMEOUT_MS = 4_000;
export const CONNECT_TIMEOUT_MS = 1_000;
/** Further calls wait for a connection; they count as not sent if they time out. */
export const MAX_CONNECTIONS_PER_ADDRESS = 256;

export const TABLE_TIMEOUT_MS = 2_000;
export const OBJECT_TIMEOUT_MS = 5_000;
export const HOST_LIST_TIMEOUT_MS = 2_000;
export const LOAD_REPORT_TIMEOUT_MS = 1_000;
/** Maximum duration of an order to an engine; a takeover waits this long. */
export const ENGINE_ORDER_TIMEOUT_MS = 30_000;

/** Time without progress after which a stream is resumed on a new connection. */
export const PROGRESS_TIMEOUT_MS = 10_000;
/** Maximum number of consecutive resumes without a new chunk. */
export const MAX_CONSECUTIVE_RESUMES = 3;
/** Pause before a resume; doubles with each consecutive resume without a new chunk. */
export const RESUME_BACKOFF_BASE_MS = 50;
/** Maximum number of chunks that are held while an earlier one is missing. */
export const MAX_OUT_OF_ORDER_CHUNKS = 256;
/** Limit for reading a response to its end after the stream is complete. */
export const DRAIN_TIMEOUT_MS = 1_000;
/** Maximum size of one event of a stream. */
export const MAX_EVENT_BYTES = 1024 * 1024;
/** Maximum size of a response that is read as a whole. */
export const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/**
 * Check of a server after a response that ended with its connection: limit for opening a connection,
 * time that it must stay open, and number of tries. A server that exits may still accept a connection
 * which it then closes.
 */
export const RUN_CHECK_TIMEOUT_MS = 200;
export const RUN_CHECK_HOLD_MS = 10;
export const RUN_CHECK_TRIES = 2;
/** Bytes that are parsed at a time; a response that breaks a limit is parsed to the end of them. */
export const MAX_READ_BYTES = 8_192;
/** Interim responses (status 1xx) of one call after which it is broken off. */
export const MAX_INTERIM_RESPONSES = 16;
/** Bytes that the responses to all calls of a client hold together while they are read. */
export const MAX_HELD_RESPONSE_BYTES = 64 * 1024 * 1024;
