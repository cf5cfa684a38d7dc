import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { RetryPolicy, State } from '../core/state.ts';
import { countRecentLimitSharers, isLinkedToMostMembers } from '../owners/owner.ts';
import { SharedRetryBudget } from './sharedRetryBudget.ts';
import type { Forward } from './types.ts';
import { MAX_STARTUP_RETRIES, RETRY_BUDGET_SHARE, STARTUP_RETRY_SHARE } from './constants.ts';

/** Returns this host's retry budget of a service; creates it on first use. */
export function getRetryBudget(state: State, service: string): SharedRetryBudget {
  const { retryBudgets } = state.forwards;
  const known = retryBudgets.get(service);
  if (known !== undefined) return known;
  const budget = SharedRetryBudget.create(getRetryPolicy(state).windowMs);
  retryBudgets.set(service, budget);
  return budget;
}

/** Takes one retry from this host's share of the budget; returns whether it allowed one. */
export function consumeServiceRetry(state: State, service: string, now: number): boolean {
  const { ratio } = getRetryPolicy(state);
  const ownSlack = getOwnSlack(state, now);
  return getRetryBudget(state, service).consumeRetry(now, ratio * RETRY_BUDGET_SHARE, ownSlack);
}

/**
 * Returns this host's part of the slack. The parts of all hosts add up to no more than the slack in
 * any span of one window, also while hosts start, leave or are cut off from the others.
 */
function getOwnSlack(state: State, now: number): number {
  const { slack, windowMs } = getRetryPolicy(state);
  const { owners } = state;
  if (owners.row === undefined || owners.isLeaving || !hasCurrentMembersRow(state)) return 0;
  const part = slack / countRecentLimitSharers(owners, windowMs, now);
  if (now < owners.startedAt + windowMs)
    return Math.min(MAX_STARTUP_RETRIES, part * STARTUP_RETRY_SHARE);
  return part * RETRY_BUDGET_SHARE;
}

/**
 * Whether this host learns when it is removed from the members row: the directory answers it, or it
 * has links to half of the other members.
 */
function hasCurrentMembersRow({ directory, owners, host }: State): boolean {
  const topics = Object.values(directory.topics);
  const isAvailable = topics.every(({ unavailableSince }) => unavailableSince === undefined);
  return isAvailable || isLinkedToMostMembers(owners, host.id);
}

/** Returns the metric and the log line of a retry that the budget allowed or refused. */
export function observeRetry(
  state: State,
  { service, labels }: Forward,
  isAllowed: boolean,
  now: number,
): Effect[] {
  const result = isAllowed ? 'allowed' : 'refused';
  const count = newCount('fireflywick_retries_total', { result });
  if (isAllowed) return [count];
  const { requests, retries } = getRetryBudget(state, service).getCounts(now);
  const { windowMs } = getRetryPolicy(state);
  const sharers = countRecentLimitSharers(state.owners, windowMs, now);
  const fields = { requestId: labels.attemptId, service, requests, retries, sharers };
  return [count, newLog('info', 'retry budget exhausted', fields)];
}

/** Returns the retry policy; without a configured one, no retry is allowed. */
function getRetryPolicy({ policy }: State): RetryPolicy {
  return policy.directory?.retries ?? { ratio: 0, slack: 0, windowMs: 1_000 };
}
