/** Limit for opening a connection. Short, because TCP resends a lost packet only after seconds. */
export const ENDPOINT_CONNECT_TIMEOUT_MS = 400;
/** Idle time after which a connection is closed if the endpoint sends no keep-alive timeout. */
export const ENDPOINT_KEEP_ALIVE_MS = 30_000;
/** How long before the endpoint's keep-alive timeout a connection is closed. */
export const KEEP_ALIVE_MARGIN_MS = 600;
/**
 * Longest wait of an attempt for a connection, which includes opening one. After a longer wait it is
 * placed again, since its headers state the time that was left before.
 */
export const MAX_CONNECTION_WAIT_MS = 450;
/** Minimum of a host's share of the connection limit of an endpoint. */
export const MIN_CONNECTIONS_PER_ENDPOINT = 8;
/** Age from which cancelling an attempt without a response replaces the endpoint's connections. */
export const UNRESPONSIVE_AFTER_MS = 1_000;
/** Maximum size of a response that is buffered before it is passed on. */
export const MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Maximum size of one event of a stream. */
export const MAX_EVENT_BYTES = 1024 * 1024;
/** Maximum size of the comments and empty lines between two events of a stream. */
export const MAX_FILLER_BYTES = 64 * 1024;
/** Bytes and time after which the rest of a response that is not passed on is no longer read. */
export const MAX_DISCARDED_BYTES = 64 * 1024;
export const DISCARD_TIMEOUT_MS = 1_000;
/** Maximum size of request headers; the routing table may set a lower limit. */
export const MAX_HEADER_BYTES = 64 * 1024;
/** Maximum size of a request body until a routing table is known. */
export const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Limit for receiving the body of a request. */
export const BODY_TIMEOUT_MS = 10_000;
export const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
/** Limit for a directory call; a watch adds the time that the directory may wait. */
export const DIRECTORY_TIMEOUT_MS = 1_200;
/** Engines acknowledge an order immediately; one without an answer may still be executed. */
export const ADAPTER_ORDER_TIMEOUT_MS = 200;
export const ADAPTER_REPORT_TIMEOUT_MS = 600;
/** Log lines per second; further lines are dropped and counted. */
export const MAX_LOG_LINES_PER_S = 200;
/** Maximum number of lines that are queued for standard output. */
export const MAX_QUEUED_LOG_LINES = 2_000;
/**
 * Shares of the grace period after SIGTERM: until the first, the host takes requests; at the second, those
 * in flight get their final answers; at the third, the process ends.
 */
export const LAME_DUCK_GRACE_SHARE = 0.5;
export const STOP_GRACE_SHARE = 0.9;
export const EXIT_GRACE_SHARE = 0.95;
/** Maximum size of an engine's answer to an order or a request for its report. */
export const MAX_REPORT_BYTES = 1024 * 1024;
