/** Time to open a connection to an endpoint; a packet that was dropped is sent again after seconds. */
export const ENDPOINT_CONNECT_TIMEOUT_MS = 400;
/** Idle time after which a connection is closed when the endpoint names none. */
export const ENDPOINT_KEEP_ALIVE_MS = 30_000;
/** Time by which a connection is closed before the endpoint would close it. */
export const KEEP_ALIVE_MARGIN_MS = 600;
/** Share of an endpoint's connections that one host may open, at least. */
export const MIN_CONNECTIONS_PER_ENDPOINT = 8;
/** Age of an attempt without any answer from which its connections are not trusted any more. */
export const UNRESPONSIVE_AFTER_MS = 1_000;
/** Size of an answer that is kept whole before it is passed on. */
export const MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Size of the headers that a caller may send before a routing table is known. */
export const MAX_HEADER_BYTES = 64 * 1024;
export const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Time that a caller may take for its body. */
export const BODY_TIMEOUT_MS = 10_000;
export const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
/** Time limit of a call to the directory, beyond what a watch is asked to wait. */
export const DIRECTORY_TIMEOUT_MS = 1_200;
/** Engines answer an order at once; one that is late may still be carried out. */
export const ADAPTER_ORDER_TIMEOUT_MS = 200;
export const ADAPTER_REPORT_TIMEOUT_MS = 600;
/** Log lines a second; what exceeds them is counted and dropped. */
export const MAX_LOG_LINES_PER_S = 200;
/** Lines that may wait for standard output. */
export const MAX_QUEUED_LOG_LINES = 2_000;
