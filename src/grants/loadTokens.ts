import { deliver } from '../core/deliver.ts';
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

/** Returns the share of the weight store's rate and burst that one engine's bucket gets. */
export function getEngineLoadTokenShare(state: State): { ratePerS: number; limit: number } {
  const engines = Math.max(1, state.configuration.engines.size);
  return { ratePerS: state.policy.loadsPerS / engines, limit: WEIGHT_STORE_BURST_LOADS / engines };
}

/** Returns the load tokens that this host can spend now. */
export function getLoadTokens(state: State, now: number): number {
  let sum = getBorrowed(state, now);
  for (const { loadTokens: budget } of state.grants.owned.values()) sum += budget.getTokens(now);
  return sum;
}

/** Returns the tokens that this host's own buckets hold at most. */
export function getLoadTokenLimit(state: State): number {
  let sum = 0;
  for (const { loadTokens: budget } of state.grants.owned.values()) sum += budget.limit;
  return sum;
}

/** Returns the tokens that must be there for a load of `rank`; a reserve is left to urgent loads. */
export function getRequiredLoadTokens(state: State, rank: number): number {
  if (rank >= URGENT_LOAD_RANK) return 1;
  // A bucket that has to be full would lose what it gains meanwhile.
  const most = getLoadTokenLimit(state) * MAX_REQUIRED_TOKEN_SHARE;
  return Math.max(1, Math.min(most, 1 + getReserve(state)));
}

/** Takes one token from what was borrowed and the buckets of all owned engines. */
export function tryTakeLoadToken(state: State, now: number): boolean {
  if (getLoadTokens(state, now) < 1) return false;
  takeTokens(state, now, 1);
  return true;
}

/** Returns milliseconds until this host's own buckets hold `need` tokens; Infinity when never. */
export function getLoadTokenWaitMs(state: State, need: number, now: number): number {
  const lacking = need - getLoadTokens(state, now);
  if (lacking <= 0) return 0;
  let ratePerS = 0;
  for (const { loadTokens: budget } of state.grants.owned.values()) {
    if (budget.getTokens(now) < budget.limit) ratePerS += budget.ratePerS;
  }
  return ratePerS > 0 ? Math.ceil((lacking * 1000) / ratePerS) : Infinity;
}

/** Asks the next linked host for the tokens that a load of `rank` lacks, one host at a time. */
export function requestLoadTokens(state: State, rank: number, now: number): Effect[] {
  const { lending } = state.grants;
  const lacking = Math.min(1, getRequiredLoadTokens(state, rank) - getLoadTokens(state, now));
  if (lacking <= 0 || lending.answerDueAt > now) return [];
  const lender = getLender(state, now);
  if (lender === undefined) return [];
  lending.lastAskedAt.set(lender, now);
  lending.answerDueAt = now + LENDER_TIMEOUT_MS;
  return [deliver(state, lender, { type: 'loadTokensAsked', need: lacking, rank })];
}

/** Lends what this host does not need more than the asker; deducted before it is sent. */
export function lendLoadTokens(
  state: State,
  { need, rank }: LoadTokenRequest,
  to: string,
  now: number,
): Effect[] {
  const own = Math.max(
    ...[...state.grants.owned.values()].map((owned) => owned.waitingLoadRank),
    -1,
  );
  const reserve = rank >= URGENT_LOAD_RANK ? 0 : getReserve(state);
  const spare = own >= rank ? 0 : Math.max(0, getLoadTokens(state, now) - reserve);
  const count = Math.min(need, spare);
  if (count > 0) takeTokens(state, now, count);
  return [deliver(state, to, { type: 'loadTokensLent', count, left: spare - count })];
}

/** Takes up what a lender sent. It must be used soon, so that tokens do not pile up at one host. */
export function addBorrowedLoadTokens(
  state: State,
  { count, left }: LoadTokenLoan,
  from: string,
  now: number,
): void {
  const { lending } = state.grants;
  lending.borrowed = getBorrowed(state, now) + count;
  lending.borrowedExpiresAt = now + BORROWED_TOKEN_TTL_MS;
  lending.answerDueAt = -Infinity;
  lending.left.set(from, left);
}

function getBorrowed({ grants: { lending } }: State, now: number): number {
  return lending.borrowedExpiresAt > now ? lending.borrowed : 0;
}

function getReserve(state: State): number {
  return URGENT_TOKEN_RESERVE_SHARE * state.policy.stallWeight * getLoadTokenLimit(state);
}

function takeTokens(state: State, now: number, count: number): void {
  const { lending } = state.grants;
  const borrowed = Math.min(count, getBorrowed(state, now));
  lending.borrowed = getBorrowed(state, now) - borrowed;
  let rest = count - borrowed;
  for (const { loadTokens: budget } of state.grants.owned.values()) {
    const taken = Math.min(rest, budget.getTokens(now));
    if (taken > 0 && budget.tryTake(now, taken)) rest -= taken;
  }
}

/** Returns the host with most tokens left by its last answer among those not asked lately. */
function getLender(state: State, now: number): string | undefined {
  const { lending } = state.grants;
  let best: string | undefined;
  let most = -Infinity;
  for (const host of state.membership.linkedHosts) {
    if ((lending.lastAskedAt.get(host) ?? -Infinity) + BORROW_RETRY_MS > now) continue;
    // A host that never answered comes before one that had nothing left.
    const left = lending.left.get(host) ?? 0.5;
    if (left > most) {
      best = host;
      most = left;
    }
  }
  return best;
}
