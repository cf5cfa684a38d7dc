import { describe, expect, it } from 'vitest';
import { SharedRetryBudget } from '../../src/forwards/sharedRetryBudget.ts';

describe('ForwardBudget', () => {
  it('allows the ratio of recent requests and the slack, and no more', () => {
    const budget = SharedRetryBudget.create(10_000);
    for (let n = 0; n < 50; n++) budget.addRequest(1_000);
    const taken = Array.from({ length: 30 }, () => budget.consumeRetry(1_500, 0.2, 5));
    expect(taken.filter(Boolean)).toHaveLength(15);
  });

  it.each<[string, number, number]>([
    ['counts within the window', 9_900, 0],
    ['forgets what left the window', 21_000, 5],
    ['forgets everything after a long pause', 900_000, 5],
  ])('%s', (_name, later, expected) => {
    const budget = SharedRetryBudget.create(10_000);
    for (let n = 0; n < 5; n++) budget.consumeRetry(500, 0, 5);
    const taken = Array.from({ length: 9 }, () => budget.consumeRetry(later, 0, 5));
    expect(taken.filter(Boolean)).toHaveLength(expected);
  });
});
