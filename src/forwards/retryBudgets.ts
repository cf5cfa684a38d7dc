import type { RetryPolicy, State } from '../core/state.ts';
import { countLimitSharers } from '../owners/owner.ts';
import { SharedRetryBudget } from './sharedRetryBudget.ts';
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

/** Returns the retry policy; without a configured one, no retry is allowed. */
function getRetryPolicy({ policy }: State): RetryPolicy {
  return policy.directory?.retries ?? { ratio: 0, slack: 0, windowMs: 1_000 };
}
