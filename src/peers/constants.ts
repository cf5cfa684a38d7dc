export const LINK_HEARTBEAT_INTERVAL_MS = 1_000;
/** Silence after which a connection is closed. */
export const RECEIVE_TIMEOUT_MS = 3_000;
/** Silence after which a fresh connection is tried, so that its result is known before the close. */
export const PROBE_AFTER_MS = 2_000;
/** Time within which a new connection must be open and greeted. */
export const HANDSHAKE_TIMEOUT_MS = 1_000;
/** Time that a superseded connection still delivers what is on its way. */
export const SUPERSEDED_CLOSE_DELAY_MS = 1_000;
/** Time that a stopping host gives its last messages. */
export const FLUSH_TIMEOUT_MS = 500;
export const RECONNECT_BASE_MS = 200;
export const RECONNECT_MAX_MS = 5_000;
/** Interval between checks of all connections. */
export const CHECK_INTERVAL_MS = 250;
/** Largest frame body in bytes. */
export const MAX_FRAME_BYTES = 1024 * 1024;
/** Largest first frame; limits what an unknown sender can make this host buffer. */
export const MAX_HELLO_BYTES = 4 * 1024;
/** Bytes that may wait for one connection before messages to it are dropped. */
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
