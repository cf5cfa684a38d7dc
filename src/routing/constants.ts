/** Holders of an adapter that one decision compares, from a random start; bounds its cost. */
export const MAX_HOLDERS_COMPARED = 8;
/** Engines on the ring that one decision considers for an adapter that is nowhere resident. */
export const RING_CANDIDATES = 3;
/** Points of the ring that one decision passes at most while engines cannot be used. */
export const MAX_RING_STEPS = 512;
/** Requests beyond a full batch, as a share of the batch, from which a second copy is worth a load. */
export const SECOND_COPY_BACKLOG = 0.5;
/** Waiting requests, in batches, from which the first engine on the ring is passed over. */
export const RING_OVERFLOW = 2;
