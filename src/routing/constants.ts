/** Most holders of an adapter that one decision compares, from a random start; bounds its cost. */
export const MAX_HOLDERS_COMPARED = 8;
/** Engines on the ring that one decision considers if no resident copy has room. */
export const RING_CANDIDATES = 3;
/** Most points of the ring that one decision visits while it skips unavailable engines. */
export const MAX_RING_STEPS = 512;
/** Load of the least loaded holder, in batches, from which a second copy is considered. */
export const SECOND_COPY_MIN_LOAD = 1.25;
/** Load of an engine, in batches, below which it may load a second copy. */
export const SECOND_COPY_MAX_LOAD = 0.75;
/**
 * Load of an engine, in batches, from which the next engine on the ring is chosen. At 2, a burst made
 * hosts send one cold adapter to several engines, with a load on each (docs/measures.md).
 */
export const RING_OVERFLOW_LOAD = 5;
