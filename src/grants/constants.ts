/** Time within which a grant must be used, counted by the asker from its receipt. */
export const GRANT_TTL_MS = 2_000;
/** Time an engine may take to end a cancelled request. */
export const ENGINE_CANCEL_TIMEOUT_MS = 2_000;
/** Time a freshly loaded adapter stays before it may be evicted. */
export const MIN_RESIDENCY_MS = 2_000;
/** Interval of comparing owned engines with the accepted configuration. */
export const RECONCILE_INTERVAL_MS = 1_000;
/** Rank of a load that an intent wants: before small groups of drafts, after older ordinary asks. */
export const WARM_LOAD_RANK = 50;
/** Age from which a draft is served like an ordinary request. */
export const DRAFT_PROMOTION_AGE_MS = 30_000;
/** Parts of the batch and of the slots kept back for urgent asks at a stall weight of 1. */
export const URGENT_BATCH_RESERVE_SHARE = 0.125;
export const URGENT_SLOT_RESERVE_SHARE = 0.25;
/** Half-life of the demand that evictions are decided by. */
export const EVICTION_POPULARITY_HALF_LIFE_MS = 120_000;
/** Adapters of which an owner remembers the demand; about 100 bytes each. */
export const MAX_TRACKED_ADAPTERS = 4_096;
/** What one miss costs by request kind: `base` for the load, `stall` times the stall weight. */
export const MISS_COSTS = {
  urgent: { base: 1, stall: 1 },
  ordinary: { base: 1, stall: 0 },
  draft: { base: 0.5, stall: 0 },
} as const;
/** Greatest age of an engine's report; later changes by orders are not in it yet. */
export const MAX_ENGINE_REPORT_AGE_MS = 3_000;
/** Loads that may start at once in the whole deployment: the weight store runs 8 at full speed. */
export const WEIGHT_STORE_BURST_LOADS = 8;
/** Share of its token limit that a host keeps for urgent loads at a stall weight of 1. */
export const URGENT_TOKEN_RESERVE_SHARE = 0.8;
/** Greatest share of its token limit that a host wants to have before a load that is not urgent. */
export const MAX_REQUIRED_TOKEN_SHARE = 0.85;
/** Time within which borrowed tokens must be used. */
export const BORROWED_TOKEN_TTL_MS = 250;
/** Time after which a lender that did not answer is passed over. */
export const LENDER_TIMEOUT_MS = 20;
/** Time after which the same host is asked for tokens again. */
export const BORROW_RETRY_MS = 100;
/** Time after which an eviction that was not possible is tried again. */
export const EVICTION_RETRY_MS = 100;
/** Rank of a load that an urgent request waits for; above any sum of the values below. */
export const URGENT_LOAD_RANK = 1_000_000;
/** Value of a waiting request of the other kinds for the order of loads. */
export const QUEUED_REQUEST_RANKS = { ordinary: 4, draft: 1 } as const;
/** Age of an ask that counts as much as one more waiting draft, so that each comes to its turn. */
export const AGE_PER_RANK_MS = { urgent: 100, ordinary: 250, draft: 5_000 } as const;
