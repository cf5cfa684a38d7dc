import type { RetryPolicy, State } from '../core/state.ts';
import { countLimitSharers } from '../owners/owner.ts';
import { SharedRetryBudget } from './sharedRetryBudget.ts';
import { RETRY_BUDGET_SHARE } from './constants.ts';

/** Returns the retry budget of a service on this host. */
export function getRetryBudget(state: State, service: string): SharedRetryBudget {
  const { retryBudgets: budgets } = state.forwards;
  const known = budgets.get(service);
  if (known !== undefined) return known;
  const budget = SharedRetryBudget.create(getPolicy(state).windowMs);
  budgets.set(service, budget);
  return budget;
}

/** Takes one repeated send from this host's share of the budget; returns whether it was there. */
export function consumeServiceRetry(state: State, service: string, now: number): boolean {
  const { ratio, slack } = getPolicy(state);
  const own = Math.max(1, (slack * RETRY_BUDGET_SHARE) / countLimitSharers(state.owners));
  return getRetryBudget(state, service).consumeRetry(now, ratio * RETRY_BUDGET_SHARE, own);
}

/** Without a policy no request is sent twice. */
function getPolicy({ policy }: State): RetryPolicy {
  return policy.directory?.retries ?? { ratio: 0, slack: 0, windowMs: 1_000 };
}
