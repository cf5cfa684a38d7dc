import type { Effect } from '../core/effects.ts';
import { newCount } from '../core/observations.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { RequestLabels } from '../forwards/types.ts';
import type { Tenant } from '../routes/types.ts';
import { findAccountant } from './accountants.ts';
import {
  ACCOUNTANT_TIMEOUT_MS,
  FREE_TTL_MS,
  MAX_COSTS,
  MAX_REFUSAL_MS,
  MAX_TENANTS,
  REPORT_DELAY_MS,
  SILENT_TTL_MS,
} from './constants.ts';
import type { PendingAsk, QuotaAnswer, QuotaRequest, QuotaWaiter, TenantUse } from './types.ts';

/** What a tenant's quota says of a request. */
export type QuotaDecision =
  | { type: 'admitted'; cost: number }
  /** The accountant was asked; the request is decided by its answer. */
  | { type: 'waiting'; cost: number; effects: Effect[] }
  | { type: 'refused'; returnMs: number }
  /** This host does not know who counts. */
  | { type: 'unknown' };

/** A waiting request that an answer decides. */
export interface DecidedWaiter extends QuotaWaiter {
  tenant: string;
  decision: { type: 'granted' } | { type: 'refused'; returnMs: number };
}

/** Returns the units that a request counts against the quota of its tenant. */
export function getQuotaCost(
  { unit, defaultTokens }: Pick<Tenant, 'unit' | 'defaultTokens'>,
  { promptTokens, outputTokens, hasTokenCount }: RequestLabels,
): number {
  if (unit === 'request') return 1;
  return hasTokenCount === true ? promptTokens + outputTokens : defaultTokens;
}

/** Decides whether a request fits into the quota of its tenant, or asks the accountant. */
export function decideQuota(
  state: State,
  tenant: Tenant,
  labels: RequestLabels,
  request: string,
  now: number,
): QuotaDecision {
  const cost = getQuotaCost(tenant, labels);
  if (tenant.ratePerS === 0 || cost === 0) return { type: 'admitted', cost: 0 };
  const accountant = findAccountant(state, tenant.name, now);
  if (accountant === undefined) return { type: 'unknown' };
  const use = getUse(state, tenant.name);
  // A tenant that had room a moment ago keeps it for that time, also when its accountant is no longer reached.
  if (use.freeUntil > now) {
    addUse(state, use, cost, now);
    return { type: 'admitted', cost };
  }
  if (use.refusedUntil > now && cost >= use.refusedCost)
    return { type: 'refused', returnMs: use.refusedUntil - now };
  use.waiting.push({ request, cost });
  const effects = use.isAsking ? [] : askAccountant(state, accountant, [tenant.name], now);
  return { type: 'waiting', cost, effects };
}

/** Gives back units of a request that did not run. */
export function giveBackQuota(state: State, tenant: string, cost: number, now: number): void {
  if (cost > 0) addUse(state, getUse(state, tenant), -cost, now);
}

/** Reports what this host used since its last reports, in one message for each accountant. */
export function reportQuotas(state: State, now: number): Effect[] {
  const { quotas } = state;
  quotas.isReportScheduled = false;
  const byAccountant = new Map<string, string[]>();
  for (const [tenant, use] of quotas.uses) {
    if (isIdle(use, now)) quotas.uses.delete(tenant);
    if (use.unreported === 0) continue;
    const accountant = findAccountant(state, tenant, now);
    if (accountant === undefined) continue;
    const tenants = byAccountant.get(accountant) ?? [];
    if (tenants.length < MAX_TENANTS) tenants.push(tenant);
    byAccountant.set(accountant, tenants);
  }
  return [...byAccountant].flatMap(([accountant, tenants]) =>
    askAccountant(state, accountant, tenants, now),
  );
}

/** Whether what is known of a tenant's use is no more than of one that this host has not served. */
function isIdle(
  { unreported, isAsking, waiting, freeUntil, refusedUntil }: TenantUse,
  now: number,
): boolean {
  const hasRequests = isAsking || waiting.length > 0;
  return unreported === 0 && !hasRequests && freeUntil <= now && refusedUntil <= now;
}

/** Applies the answer of an accountant; returns the waiting requests that it decides. */
export function applyQuotaAnswer(
  state: State,
  { ask, tenants }: QuotaAnswer,
  now: number,
): { decided: DecidedWaiter[]; effects: Effect[] } {
  const pending = state.quotas.pendingAsks.get(ask);
  // The requests of a late answer were decided by another accountant.
  if (pending === undefined) return { decided: [], effects: [] };
  state.quotas.pendingAsks.delete(ask);
  state.quotas.silentUntil.delete(pending.accountant);
  const decided: DecidedWaiter[] = [];
  const remaining: string[] = [];
  const answers = new Map(tenants.map((answer) => [answer.tenant, answer]));
  for (const { tenant, waiters } of pending.tenants) {
    const use = getUse(state, tenant);
    const { granted = [], isMetered = true, returnMs = 0 } = answers.get(tenant) ?? {};
    use.freeUntil = isMetered ? -Infinity : now + FREE_TTL_MS;
    waiters.forEach((waiter, index) => {
      const decision =
        granted[index] === true
          ? { type: 'granted' as const }
          : { type: 'refused' as const, returnMs };
      decided.push({ ...waiter, tenant, decision });
    });
    const refusedCosts = waiters
      .filter((_, index) => granted[index] !== true)
      .map(({ cost }) => cost);
    if (waiters.length > 0) use.isAsking = false;
    if (refusedCosts.length > 0) {
      use.refusedCost = Math.min(...refusedCosts);
      use.refusedUntil = now + Math.min(returnMs, MAX_REFUSAL_MS);
    }
    if (use.waiting.length > 0 && !use.isAsking) remaining.push(tenant);
  }
  const effects = remaining.length === 0 ? [] : askForWaiting(state, remaining, now);
  const counts = decided.map(({ decision }) =>
    newCount('fireflywick_quota_decisions_total', { result: decision.type }),
  );
  return { decided, effects: [...effects, ...counts] };
}

/** Ends the wait for an accountant that does not answer, and asks another one. */
export function handleSilentAccountant(state: State, ask: number, now: number): Effect[] {
  const { quotas } = state;
  const pending = quotas.pendingAsks.get(ask);
  if (pending === undefined) return [];
  quotas.pendingAsks.delete(ask);
  quotas.silentUntil.set(pending.accountant, now + SILENT_TTL_MS);
  for (const { tenant, waiters } of pending.tenants) {
    const use = getUse(state, tenant);
    use.freeUntil = -Infinity;
    use.waiting.unshift(...waiters);
    if (waiters.length > 0) use.isAsking = false;
  }
  const tenants = pending.tenants.map(({ tenant }) => tenant);
  return [
    newCount('fireflywick_silent_accountants_total', {}),
    ...askForWaiting(state, tenants, now),
  ];
}

/** Has this host ask from now on before it admits requests of a tenant. */
export function meterTenant(state: State, tenant: string): void {
  const use = state.quotas.uses.get(tenant);
  if (use !== undefined) use.freeUntil = -Infinity;
}

function askForWaiting(state: State, tenants: readonly string[], now: number): Effect[] {
  return tenants.flatMap((tenant) => {
    const accountant = findAccountant(state, tenant, now);
    const use = getUse(state, tenant);
    if (accountant === undefined || use.isAsking || use.waiting.length === 0) return [];
    return askAccountant(state, accountant, [tenant], now);
  });
}

function askAccountant(state: State, accountant: string, tenants: string[], now: number): Effect[] {
  const { quotas } = state;
  const ask = quotas.nextAsk;
  quotas.nextAsk += 1;
  const pending: PendingAsk = { accountant, tenants: [] };
  const entries: QuotaRequest['tenants'] = [];
  for (const tenant of tenants) {
    const use = getUse(state, tenant);
    // An earlier message decides those that it asked for before others are asked for.
    const waiters = use.isAsking ? [] : use.waiting.splice(0, MAX_COSTS);
    use.isAsking ||= waiters.length > 0;
    pending.tenants.push({ tenant, waiters });
    entries.push({ tenant, used: use.unreported, costs: waiters.map(({ cost }) => cost) });
    use.unreported = 0;
  }
  quotas.pendingAsks.set(ask, pending);
  schedule(state, now + ACCOUNTANT_TIMEOUT_MS, { type: 'quotaTimeout', ask });
  return [sendMessage(state, accountant, { type: 'quotaAsked', ask, tenants: entries })];
}

function addUse(state: State, use: TenantUse, units: number, now: number): void {
  use.unreported += units;
  const { quotas } = state;
  if (quotas.isReportScheduled) return;
  quotas.isReportScheduled = true;
  schedule(state, now + REPORT_DELAY_MS, { type: 'reportQuotas' });
}

function getUse({ quotas }: State, tenant: string): TenantUse {
  const known = quotas.uses.get(tenant);
  if (known !== undefined) return known;
  const use: TenantUse = {
    freeUntil: -Infinity,
    refusedUntil: -Infinity,
    refusedCost: Infinity,
    unreported: 0,
    waiting: [],
    isAsking: false,
  };
  quotas.uses.set(tenant, use);
  return use;
}
