/** Idle time after which a caller's connection is closed. */
export const CALLER_KEEP_ALIVE_MS = 65_000;

/** Maximum interval between checks for requests that arrive too slowly. */
export const CONNECTION_CHECK_INTERVAL_MS = 1_000;

/** Interval at which a stopping server closes connections that became idle. */
export const IDLE_CHECK_INTERVAL_MS = 50;

/** Time for which a connection stays open after its last request was rejected while it arrived. */
export const REJECTED_LINGER_MS = 1_000;

/**
 * Time for which a server waits for an address that is taken; a process that was told to stop may hold
 * it for its grace period.
 */
export const LISTEN_TIMEOUT_MS = 10_000;
export const LISTEN_RETRY_MS = 100;

/** Most requests of one connection that wait for their answers; more of them close it. */
export const MAX_SENT_AHEAD = 32;

/** Connections, size of the headers and time limit of requests for the state of the host. */
export const MAX_STATUS_CONNECTIONS = 32;
export const MAX_STATUS_HEADER_BYTES = 8_192;
export const STATUS_TIMEOUT_MS = 3_000;

/** Parts of a body from which on their mean size counts, the size below which they are small, and most such bodies at once. */
export const SMALL_PARTS = 512;
export const SMALL_PART_BYTES = 64;
export const MAX_SMALL_PART_SENDERS = 2;
/** Time for which a connection is not read after it has brought many small parts. */
export const SMALL_PART_PAUSE_MS = 20;

/**
 * Memory that all requests and responses hold together. The process takes up to twice as much for them
 * until the garbage collector has run.
 */
export const MAX_HELD_BYTES = 64 * 1024 * 1024;
export const MIN_HELD_BYTES = 8 * 1024 * 1024;
/** Memory of a host at rest, and the share of the rest of its machine's that requests and responses hold. */
export const REST_MEMORY_MB = 120;
export const HELD_MEMORY_SHARE = 0.25;
/** Memory that an open connection takes, with what has arrived and was not read. */
export const BYTES_PER_CONNECTION = 16 * 1024;
/** Descriptors that are kept for files, and the share of the others that connections of callers may take. */
export const FILE_DESCRIPTORS = 200;
export const CALLER_DESCRIPTOR_SHARE = 0.5;
export const MIN_CALLER_CONNECTIONS = 16;
