import type { AccountRole } from './types.ts';

/** Members for each group of tenants with an accountant of its own. */
export const MEMBERS_PER_SHARD = 128;
/** Time after which a host reports what it used of tenants that are free. */
export const REPORT_DELAY_MS = 100;
/** Time for which a tenant stays free on a host that does not hear from its accountant. */
export const FREE_TTL_MS = 3_000;
/** Shares of a full bucket below which a tenant is metered, and from which on it is free again. */
export const METERED_BELOW_SHARE = 0.5;
export const FREE_FROM_SHARE = 0.75;
/** Time within which an accountant must answer, and for which a silent one is passed over. */
export const ACCOUNTANT_TIMEOUT_MS = 200;
export const SILENT_TTL_MS = 1_000;
/** Time without a report after which a host no longer counts as a user of a tenant. */
export const USER_TTL_MS = 3_000;
/** Time in which parts of a limit count that former members may have used. */
export const FORMER_MEMBERS_WINDOW_MS = 10_000;
/**
 * Shortest time whose units fit into a bucket, for tenants without a burst. The part of one host is small, and
 * would be lost between two requests.
 */
export const MIN_BURST_MS: Record<AccountRole, number> = { primary: 100, substitute: 1_000 };
/** Units that a substitute starts with, as the time that its parts of the limit take for them. */
export const SUBSTITUTE_START_MS = 1_000;
/** Longest time for which a host refuses requests of a tenant without asking again. */
export const MAX_REFUSAL_MS = 100;
/** Time ahead up to which the returns of refused callers are spread. */
export const MAX_RETURN_MS = 10_000;
/** Interval of the log lines that tell how much of a quota is used. */
export const QUOTA_REPORT_INTERVAL_MS = 10_000;
/** Most requests that one message asks for. */
export const MAX_COSTS = 256;
/** Most tenants that one message names. */
export const MAX_TENANTS = 512;
