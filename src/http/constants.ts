export const MAX_BODY_BYTES = 1024 * 1024;
export const MAX_HEADER_BYTES = 16 * 1024;
/** Time a sender has for its whole body. */
export const BODY_TIMEOUT_MS = 10_000;
/** Time after which an idle keep-alive connection of a caller is closed. */
export const KEEP_ALIVE_MS = 65_000;
