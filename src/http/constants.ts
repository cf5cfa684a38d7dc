/** Time after which an idle keep-alive connection of a caller is closed. */
export const KEEP_ALIVE_MS = 65_000;
