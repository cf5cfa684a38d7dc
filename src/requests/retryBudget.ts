import { DecayingCounter } from '../base/decayingCounter.ts';
import { RETRY_BUDGET_HALF_LIFE_MS, RETRY_MIN_PER_S, RETRY_RATIO } from './constants.ts';

/** Limits retries to a share of recent requests, so that they cannot amplify an overload. */
export class RetryBudget {
  private readonly requests = DecayingCounter.create(RETRY_BUDGET_HALF_LIFE_MS, 0);
  private readonly retries = DecayingCounter.create(RETRY_BUDGET_HALF_LIFE_MS, 0);

  private constructor() {}

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Counts a request that arrived. */
  addRequest(now: number): void {
    this.requests.add(now);
  }

  /** Consumes one retry; returns false when the budget is exhausted. */
  tryTakeRetry(now: number): boolean {
    const allowed = Math.max(RETRY_MIN_PER_S, RETRY_RATIO * this.requests.getRatePerS(now));
    if (this.retries.getRatePerS(now) >= allowed) return false;
    this.retries.add(now);
    return true;
  }
}
