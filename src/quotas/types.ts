import { z } from 'zod';
import type { TokenBucket } from '../base/tokenBucket.ts';
import { MAX_COSTS, MAX_TENANTS } from './constants.ts';

/** Reports what a host used of tenants' quotas, and asks for what its waiting requests cost. */
export const QuotaRequest = z.object({
  type: z.literal('quotaAsked'),
  ask: z.int().min(0),
  tenants: z
    .array(
      z.object({
        tenant: z.string().min(1),
        /** Units that it used since its last report; below 0 if it gives back more than it used. */
        used: z.number(),
        /** Units of each request that waits, in order. */
        costs: z.array(z.number().min(0)).max(MAX_COSTS),
      }),
    )
    .max(MAX_TENANTS),
});
export type QuotaRequest = z.infer<typeof QuotaRequest>;

/** Answers a quota request. */
export const QuotaAnswer = z.object({
  type: z.literal('quotaTold'),
  ask: z.int().min(0),
  tenants: z
    .array(
      z.object({
        tenant: z.string().min(1),
        /** Whether each of the requests may be sent, in the order of their costs. */
        granted: z.array(z.boolean()).max(MAX_COSTS),
        /** Whether the host has to ask before it admits further requests. */
        isMetered: z.boolean(),
        /** Time after which there is room for the smallest of the others, in ms. */
        returnMs: z.number().min(0),
      }),
    )
    .max(MAX_TENANTS),
});
export type QuotaAnswer = z.infer<typeof QuotaAnswer>;

/** Tells a host that it has to ask from now on before it admits requests of a tenant. */
export const TenantMetered = z.object({
  type: z.literal('tenantMetered'),
  tenant: z.string().min(1),
});

/**
 * `primary`: the accountant of a tenant by the members row; `substitute`: the accountant of hosts that do not
 * reach that one.
 */
export type AccountRole = 'primary' | 'substitute';

/** The quota of one tenant that this host hands out. */
export interface Account {
  role: AccountRole;
  /** Units that are left; below 0 after requests that were larger than what was left. */
  bucket: TokenBucket;
  isMetered: boolean;
  /** Monotonic ms of the last report of each host that uses the tenant. */
  users: Map<string, number>;
  /** Monotonic ms up to which returns of refused callers are spread. */
  returnsUntil: number;
  /** Units granted or used, and requests refused, since the last log line. */
  usedUnits: number;
  refused: number;
}

/** A request that waits for the quota of its tenant. */
export interface QuotaWaiter {
  request: string;
  cost: number;
}

/** What this host uses of the quota of one tenant. */
export interface TenantUse {
  /** Monotonic ms until which requests are admitted without asking. */
  freeUntil: number;
  /** Monotonic ms until which requests are refused without asking that cost `refusedCost` units or more. */
  refusedUntil: number;
  refusedCost: number;
  /** Units used since the last report. */
  unreported: number;
  /** Requests that wait and that no message has asked for yet. */
  waiting: QuotaWaiter[];
  /** Whether a message has asked for others and is not answered yet. */
  isAsking: boolean;
}

/** A request to an accountant that is not answered yet. */
export interface PendingAsk {
  accountant: string;
  tenants: { tenant: string; waiters: QuotaWaiter[] }[];
}

/** Quotas of tenants: what this host uses, and what it hands out. */
export class Quotas {
  /** Accounts by tenant, of tenants that are in use. */
  readonly accounts = new Map<string, Account>();
  /** This host's use by tenant. */
  readonly uses = new Map<string, TenantUse>();
  readonly pendingAsks = new Map<number, PendingAsk>();
  nextAsk = 1;
  /** Monotonic ms until which accountants are passed over that did not answer. */
  readonly silentUntil = new Map<string, number>();
  /** Accountants by shard under the members row. */
  primaries: (string | undefined)[] = [];
  /** Monotonic ms since which this host is the accountant of a shard. */
  readonly primarySince = new Map<number, number>();
  isReportScheduled = false;
  isLogScheduled = false;

  private constructor() {}

  static create(): Quotas {
    return new Quotas();
  }
}

export type QuotaTimer =
  | { type: 'reportQuotas' }
  | { type: 'logQuotas' }
  /** The accountant did not answer. */
  | { type: 'quotaTimeout'; ask: number };
