/** Time for which jobs run before everything that arrived meanwhile is read. */
export const TURN_MS = 10;
/** Longest time for which no request is taken while further connections are accepted. */
export const MAX_ACCEPT_MS = 100;
/**
 * Time for which connections must have waited to be accepted without a break, and how many must have been
 * accepted meanwhile, for new ones to be closed. A host that was busy for a moment accepts a few slowly.
 */
export const ACCEPT_OVERLOAD_MS = 300;
export const MIN_OVERLOAD_CONNECTIONS = 32;
/** Idle time in a poll of the event loop from which on nothing had been waiting to be read, in ms. */
export const MIN_IDLE_MS = 1;
/** Time in each iteration for which connections that deliver without a pause are read on. */
export const READ_TURN_MS = 5;
/** Bytes that a connection may deliver in one iteration, and what each part counts for beside its bytes. */
export const READ_TURN_COST_BYTES = 8_192;
export const READ_PART_COST_BYTES = 8;
