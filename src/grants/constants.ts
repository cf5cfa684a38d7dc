/** Time within which a requesting host must use a grant, counted from its receipt. */
export const GRANT_TTL_MS = 2_000;
/** Time within which an engine ends a cancelled request. */
export const ENGINE_CANCEL_TIMEOUT_MS = 2_000;
/** Minimum time between the load of an adapter and its eviction. */
export const MIN_RESIDENCY_MS = 2_000;
/** Interval at which owned engines are compared with the configuration in force. */
export const RECONCILE_INTERVAL_MS = 1_000;
/**
 * Rank of a load for a warm intent: above small groups of drafts, below older ordinary requests.
 */
export const WARM_LOAD_RANK = 50;
/** Age at which a draft is queued like an ordinary request. */
export const DRAFT_PROMOTION_AGE_MS = 30_000;
/** Shares of batch and slots reserved for urgent requests at a stall weight of 1. */
export const URGENT_BATCH_RESERVE_SHARE = 0.125;
export const URGENT_SLOT_RESERVE_SHARE = 0.25;
/** Half-life of the adapter demand on which evictions are based. */
export const EVICTION_POPULARITY_HALF_LIFE_MS = 120_000;
/** Adapters whose demand an owner tracks; about 100 bytes each. */
export const MAX_TRACKED_ADAPTERS = 4_096;
/** Cost of a miss by request kind: `base` for the load, plus `stall` times the stall weight. */
export const MISS_COSTS = {
  urgent: { base: 1, stall: 1 },
  ordinary: { base: 1, stall: 0 },
  draft: { base: 0.5, stall: 0 },
} as const;
/** Maximum age of an engine's report; it may lack loads and unloads from within this time. */
export const MAX_ENGINE_REPORT_AGE_MS = 3_000;
/**
 * Loads that may start at once in the whole deployment; the weight store serves 8 at full speed.
 */
export const WEIGHT_STORE_BURST_LOADS = 8;
/** Share of a host's token limit reserved for urgent loads at a stall weight of 1. */
export const URGENT_TOKEN_RESERVE_SHARE = 0.8;
/** Maximum share of a host's token limit that is required before a load that is not urgent. */
export const MAX_REQUIRED_TOKEN_SHARE = 0.85;
/** Time after which unused borrowed tokens expire. */
export const BORROWED_TOKEN_TTL_MS = 250;
/** Time after which tokens are requested from another host when a lender does not answer. */
export const LENDER_TIMEOUT_MS = 20;
/** Minimum time between two token requests to the same host. */
export const BORROW_RETRY_MS = 100;
/** Time after which a blocked eviction is retried. */
export const EVICTION_RETRY_MS = 100;
/** Rank of a load for an urgent request; above any sum of the ranks below. */
export const URGENT_LOAD_RANK = 1_000_000;
/** Rank that each queued request of the other kinds adds to its load. */
export const QUEUED_REQUEST_RANKS = { ordinary: 4, draft: 1 } as const;
/** Age of a queued request that adds 1 to the rank of its load, so that no load starves. */
export const AGE_PER_RANK_MS = { urgent: 100, ordinary: 250, draft: 5_000 } as const;
