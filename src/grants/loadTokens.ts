import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import {
  BORROW_RETRY_MS,
  BORROWED_TOKEN_TTL_MS,
  LENDER_TIMEOUT_MS,
  MAX_REQUIRED_TOKEN_SHARE,
  WEIGHT_STORE_BURST_LOADS,
  URGENT_LOAD_RANK,
  URGENT_TOKEN_RESERVE_SHARE,
} from './constants.ts';
import type { LoadTokenRequest, LoadTokenLoan } from './types.ts';

/** Returns rate and burst of one engine's token bucket: an equal part of the weight store's. */
export function getEngineLoadTokenShare(state: State): { ratePerS: number; limit: number } {
  const engines = Math.max(1, state.configuration.engines.size);
  return { ratePerS: state.policy.loadsPerS / engines, limit: WEIGHT_STORE_BURST_LOADS / engines };
}

/** Returns the load tokens available to this host: its own and unexpired borrowed ones. */
export function getLoadTokens(state: State, now: number): number {
  let sum = getBorrowedTokens(state, now);
  for (const { loadTokens: bucket } of state.grants.owned.values()) sum += bucket.getTokens(now);
  return sum;
}

/** Returns the total capacity of the buckets of this host's engines. */
export function getLoadTokenLimit(state: State): number {
  let sum = 0;
  for (const { loadTokens: bucket } of state.grants.owned.values()) sum += bucket.limit;
  return sum;
}

/** Returns the tokens required for a load of `rank`; a reserve is left to urgent loads. */
export function getRequiredLoadTokens(state: State, rank: number): number {
  if (rank >= URGENT_LOAD_RANK) return 1;
  // Waiting for completely full buckets would discard the tokens that accrue meanwhile.
  const maxRequired = getLoadTokenLimit(state) * MAX_REQUIRED_TOKEN_SHARE;
  return Math.max(1, Math.min(maxRequired, 1 + getUrgentReserve(state)));
}

/** Consumes one load token, borrowed ones first; returns false when less than one is available. */
export function tryTakeLoadToken(state: State, now: number): boolean {
  if (getLoadTokens(state, now) < 1) return false;
  consumeTokens(state, now, 1);
  return true;
}

/** Returns ms until this host has `need` tokens; Infinity when its own buckets do not refill. */
export function getLoadTokenWaitMs(state: State, need: number, now: number): number {
  const missing = need - getLoadTokens(state, now);
  if (missing <= 0) return 0;
  let ratePerS = 0;
  for (const { loadTokens: bucket } of state.grants.owned.values()) {
    if (bucket.getTokens(now) < bucket.limit) ratePerS += bucket.ratePerS;
  }
  return ratePerS > 0 ? Math.ceil((missing * 1000) / ratePerS) : Infinity;
}

/** Requests the missing tokens for a load of `rank` from one linked host at a time. */
export function requestLoadTokens(state: State, rank: number, now: number): Effect[] {
  const { borrowing } = state.grants;
  const missing = Math.min(1, getRequiredLoadTokens(state, rank) - getLoadTokens(state, now));
  if (missing <= 0 || borrowing.answerDueAt > now) return [];
  const lender = chooseLender(state, now);
  if (lender === undefined) return [];
  borrowing.requestedAtByLender.set(lender, now);
  borrowing.answerDueAt = now + LENDER_TIMEOUT_MS;
  return [sendMessage(state, lender, { type: 'loadTokensAsked', need: missing, rank })];
}

/**
 * Lends tokens unless a load of equal or higher rank waits here; loads that are not urgent get none
 * of the reserve. Tokens are deducted before they are sent, so that a lost message never adds
 * tokens.
 */
export function lendLoadTokens(
  state: State,
  { need, rank }: LoadTokenRequest,
  to: string,
  now: number,
): Effect[] {
  const ownRank = Math.max(
    ...[...state.grants.owned.values()].map((owned) => owned.waitingLoadRank),
    -1,
  );
  const reserve = rank >= URGENT_LOAD_RANK ? 0 : getUrgentReserve(state);
  const spare = ownRank >= rank ? 0 : Math.max(0, getLoadTokens(state, now) - reserve);
  const count = Math.min(need, spare);
  if (count > 0) consumeTokens(state, now, count);
  return [sendMessage(state, to, { type: 'loadTokensLent', count, left: spare - count })];
}

/** Adds borrowed tokens. They expire soon, so that tokens do not accumulate at one host. */
export function addBorrowedLoadTokens(
  state: State,
  { count, left }: LoadTokenLoan,
  from: string,
  now: number,
): void {
  const { borrowing } = state.grants;
  borrowing.borrowed = getBorrowedTokens(state, now) + count;
  borrowing.borrowedExpiresAt = now + BORROWED_TOKEN_TTL_MS;
  borrowing.answerDueAt = -Infinity;
  borrowing.remainingByLender.set(from, left);
}

function getBorrowedTokens({ grants: { borrowing } }: State, now: number): number {
  return borrowing.borrowedExpiresAt > now ? borrowing.borrowed : 0;
}

function getUrgentReserve(state: State): number {
  return URGENT_TOKEN_RESERVE_SHARE * state.policy.stallWeight * getLoadTokenLimit(state);
}

function consumeTokens(state: State, now: number, count: number): void {
  const { borrowing } = state.grants;
  const borrowed = Math.min(count, getBorrowedTokens(state, now));
  borrowing.borrowed = getBorrowedTokens(state, now) - borrowed;
  let rest = count - borrowed;
  for (const { loadTokens: bucket } of state.grants.owned.values()) {
    const taken = Math.min(rest, bucket.getTokens(now));
    if (taken > 0 && bucket.tryTake(now, taken)) rest -= taken;
  }
}

/** Returns the host that last reported the most tokens; skips those with a recent request. */
function chooseLender(state: State, now: number): string | undefined {
  const { borrowing } = state.grants;
  let lender: string | undefined;
  let mostRemaining = -Infinity;
  for (const host of state.membership.linkedHosts) {
    if ((borrowing.requestedAtByLender.get(host) ?? -Infinity) + BORROW_RETRY_MS > now) continue;
    // A host that has not answered yet ranks before one that reported no tokens.
    const remaining = borrowing.remainingByLender.get(host) ?? 0.5;
    if (remaining > mostRemaining) {
      lender = host;
      mostRemaining = remaining;
    }
  }
  return lender;
}
