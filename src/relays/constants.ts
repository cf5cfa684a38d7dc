/** Time within which a relay must connect to an endpoint; a sound one takes a few ms. */
export const RELAY_CONNECT_TIMEOUT_MS = 250;
/** Time within which a relay must answer; longer than it waits for the endpoint. */
export const RELAY_ANSWER_TIMEOUT_MS = 400;
/** Maximum number of connections that a host relays. */
export const MAX_RELAYED_CONNECTIONS = 1_024;
