import { TokenBucket } from '../base/tokenBucket.ts';
import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { Tenant } from '../routes/types.ts';
import { getAccountRole, getLimitShare, getPrimarySince } from './accountants.ts';
import {
  FREE_FROM_SHARE,
  MAX_RETURN_MS,
  METERED_BELOW_SHARE,
  MIN_BURST_MS,
  QUOTA_REPORT_INTERVAL_MS,
  SUBSTITUTE_START_MS,
  USER_TTL_MS,
} from './constants.ts';
import type { Account, AccountRole, QuotaAnswer, QuotaRequest } from './types.ts';

/** Takes what a host used from the quotas, and grants what its waiting requests cost while units are left. */
export function answerQuotaRequest(
  state: State,
  { ask, tenants }: QuotaRequest,
  from: string,
  now: number,
): Effect[] {
  const effects: Effect[] = [];
  const answers: QuotaAnswer['tenants'] = [];
  for (const { tenant: name, used, costs } of tenants) {
    const tenant = state.routeIndex.current?.tenants.get(name);
    if (tenant === undefined || tenant.ratePerS === 0) {
      // The host knows a newer routing table; this one will count what follows.
      const granted = costs.map(() => true);
      answers.push({ tenant: name, granted, isMetered: true, returnMs: 0 });
      continue;
    }
    const account = getAccount(state, tenant, from, now);
    const { bucket } = account;
    bucket.add(now, -used);
    const granted = grantCosts(account, costs, now);
    account.usedUnits += used;
    const refused = costs.filter((_, index) => granted[index] !== true);
    account.refused += refused.length;
    const returnMs = refused.length > 0 ? takeReturnMs(state, account, refused, now) : 0;
    effects.push(...updateMetering(state, tenant, account, from, now));
    answers.push({ tenant: name, granted, isMetered: account.isMetered, returnMs });
  }
  scheduleLog(state, now);
  return [...effects, sendMessage(state, from, { type: 'quotaTold', ask, tenants: answers })];
}

/** Logs how much of each quota this host handed out since the last time, and drops those no longer in use. */
export function logQuotas(state: State, now: number): Effect[] {
  const { quotas, routeIndex } = state;
  quotas.isLogScheduled = false;
  const effects: Effect[] = [];
  for (const [tenant, account] of quotas.accounts) {
    for (const [host, reportedAt] of account.users) {
      if (reportedAt + USER_TTL_MS <= now) account.users.delete(host);
    }
    const { role, usedUnits, refused, bucket, users, isMetered } = account;
    account.usedUnits = 0;
    account.refused = 0;
    const isFull = bucket.getTokens(now) >= bucket.limit;
    if (users.size === 0 && (isFull || routeIndex.current?.tenants.has(tenant) !== true))
      quotas.accounts.delete(tenant);
    if (!isMetered && refused === 0) continue;
    const limits = { ratePerS: bucket.ratePerS, burst: bucket.limit };
    const use = { usedUnits: Math.round(usedUnits), refused, hosts: users.size };
    const left = Math.round(bucket.getTokens(now));
    effects.push(newLog('info', 'use of a quota', { tenant, role, ...limits, ...use, left }));
  }
  scheduleLog(state, now);
  return effects;
}

/**
 * Grants each request for which enough units are left, in their order; returns which. Small requests find room
 * between large ones.
 */
function grantCosts(account: Account, costs: readonly number[], now: number): boolean[] {
  const { bucket } = account;
  return costs.map((cost) => {
    // A request may cost more than a full bucket holds; those after it wait until its cost is refilled.
    if (bucket.getTokens(now) < Math.min(cost, bucket.limit)) return false;
    bucket.add(now, -cost);
    account.usedUnits += cost;
    return true;
  });
}

/**
 * Returns the time after which there is room for the smallest of refused requests, in ms. Each refusal takes the
 * time that its units need, so that callers return at the rate of the quota.
 */
function takeReturnMs(
  { random }: State,
  account: Account,
  refused: readonly number[],
  now: number,
): number {
  const { bucket } = account;
  const units = refused.reduce((sum, cost) => sum + cost, 0);
  const waitMs = bucket.getWaitMs(now, Math.min(bucket.limit, ...refused));
  const intervalMs = bucket.ratePerS > 0 ? (units * 1_000) / bucket.ratePerS : Infinity;
  const at = Math.max(account.returnsUntil, now + waitMs);
  if (at + intervalMs - now > MAX_RETURN_MS)
    return Math.max(Math.min(waitMs, MAX_RETURN_MS), MAX_RETURN_MS * random.getFraction());
  account.returnsUntil = at + intervalMs;
  return at - now;
}

/** Meters a tenant whose units run low, and tells the hosts that admit its requests without asking. */
function updateMetering(
  state: State,
  { name }: Tenant,
  account: Account,
  from: string,
  now: number,
): Effect[] {
  const { bucket, users, role } = account;
  const wasMetered = account.isMetered;
  const share = wasMetered ? FREE_FROM_SHARE : METERED_BELOW_SHARE;
  // A substitute knows only a part of the hosts, and their parts are small.
  account.isMetered = role === 'substitute' || bucket.getTokens(now) < share * bucket.limit;
  if (wasMetered || !account.isMetered) return [];
  const others = [...users.keys()].filter((host) => host !== from);
  return others.map((host) => sendMessage(state, host, { type: 'tenantMetered', tenant: name }));
}

/** Returns the account of a tenant, with `user` among its users and the present limit. */
function getAccount(state: State, tenant: Tenant, user: string, now: number): Account {
  const { accounts } = state.quotas;
  const role = getAccountRole(state, tenant.name);
  const known = accounts.get(tenant.name);
  const users = known?.users ?? new Map<string, number>();
  users.set(user, now);
  const share = getLimitShare(state, role, users, now);
  const ratePerS = tenant.ratePerS * share;
  const limit = Math.max(1, tenant.burst * share, (ratePerS * MIN_BURST_MS[role]) / 1_000);
  if (known?.role === role) {
    const { bucket } = known;
    if (bucket.ratePerS !== ratePerS || bucket.limit !== limit) {
      const left = Math.min(limit, bucket.getTokens(now));
      known.bucket = TokenBucket.create(ratePerS, limit, now, left);
    }
    return known;
  }
  const startMs = getStartMs(state, tenant.name, role, now);
  const start = Math.min(limit, (ratePerS * startMs) / 1_000);
  const created: Account = {
    role,
    bucket: TokenBucket.create(ratePerS, limit, now, start),
    isMetered: role === 'substitute' || start < METERED_BELOW_SHARE * limit,
    users,
    returnsUntil: -Infinity,
    usedUnits: 0,
    refused: 0,
  };
  accounts.set(tenant.name, created);
  return created;
}

/**
 * Returns the time whose units a new account starts with, in ms: since this host became the accountant of the
 * tenant, as the former one may have granted all that there was.
 */
function getStartMs(state: State, tenant: string, role: AccountRole, now: number): number {
  return role === 'primary' ? now - getPrimarySince(state, tenant, now) : SUBSTITUTE_START_MS;
}

function scheduleLog(state: State, now: number): void {
  const { quotas } = state;
  if (quotas.isLogScheduled || quotas.accounts.size === 0) return;
  quotas.isLogScheduled = true;
  schedule(state, now + QUOTA_REPORT_INTERVAL_MS, { type: 'logQuotas' });
}
