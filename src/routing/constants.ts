/** Holders of an adapter that one decision compares, from a random start; bounds its cost. */
export const MAX_HOLDERS_COMPARED = 8;
/** Engines on the ring that one decision considers for an adapter without a copy that has room. */
export const RING_CANDIDATES = 3;
/** Points of the ring that one decision passes at most while engines cannot be used. */
export const MAX_RING_STEPS = 512;
/** Load of every holder, in batches, from which a second copy is considered. */
export const SECOND_COPY_MIN_LOAD = 1.25;
/** Load of an engine, in batches, below which it may take a second copy. */
export const SECOND_COPY_MAX_LOAD = 0.75;
/**
 * Load in batches from which the first engine on the ring is passed over. At 2, hosts sent one cold
 * adapter to several engines under a burst and paid a load for each (docs/measures.md).
 */
export const RING_OVERFLOW_LOAD = 5;
