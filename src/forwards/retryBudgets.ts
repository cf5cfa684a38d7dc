import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { RetryPolicy, State } from '../core/state.ts';
import { countLimitSharers } from '../owners/owner.ts';
import { SharedRetryBudget } from './sharedRetryBudget.ts';
import type { Forward } from './types.ts';
import { RETRY_BUDGET_SHARE } from './constants.ts';

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
  const { ratio, slack } = getRetryPolicy(state);
  const ownSlack = Math.max(1, (slack * RETRY_BUDGET_SHARE) / countLimitSharers(state.owners));
  return getRetryBudget(state, service).consumeRetry(now, ratio * RETRY_BUDGET_SHARE, ownSlack);
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
  const sharers = countLimitSharers(state.owners);
  const fields = { requestId: labels.attemptId, service, requests, retries, sharers };
  return [count, newLog('info', 'retry budget exhausted', fields)];
}

/** Returns the retry policy; without a configured one, no retry is allowed. */
function getRetryPolicy({ policy }: State): RetryPolicy {
  return policy.directory?.retries ?? { ratio: 0, slack: 0, windowMs: 1_000 };
}
