export const LINK_HEARTBEAT_INTERVAL_MS = 1_000;
/** Time without received bytes after which a connection is closed. */
export const RECEIVE_TIMEOUT_MS = 3_000;
/**
 * Time without received bytes after which a new connection is dialled, so that its result is known
 * before `RECEIVE_TIMEOUT_MS` ends.
 */
export const PROBE_AFTER_MS = 2_000;
/** Time within which a new connection must be open and have received the hello. */
export const HANDSHAKE_TIMEOUT_MS = 1_000;
/** Time for which a superseded connection stays open to deliver messages in flight. */
export const SUPERSEDED_CLOSE_DELAY_MS = 1_000;
/** Time that a stopping host allows for sending its last messages. */
export const FLUSH_TIMEOUT_MS = 500;
export const RECONNECT_BASE_MS = 200;
export const RECONNECT_MAX_MS = 5_000;
/** Interval at which all connections are checked for timeouts and due dials. */
export const CHECK_INTERVAL_MS = 250;
/** Largest frame body in bytes. */
export const MAX_FRAME_BYTES = 1024 * 1024;
/** Largest body of the first frame; limits what an unknown sender can make this host buffer. */
export const MAX_HELLO_BYTES = 4 * 1024;
/** Bytes that may wait for one connection before messages to it are dropped. */
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
