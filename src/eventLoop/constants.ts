/** Time for which jobs run before everything that arrived meanwhile is read. */
export const TURN_MS = 10;
/** Idle time in a poll of the event loop from which on nothing had been waiting to be read, in ms. */
export const MIN_IDLE_MS = 1;
