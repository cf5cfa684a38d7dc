import { describe, expect, it } from 'vitest';
import { SharedRetryBudget } from '../../src/forwards/sharedRetryBudget.ts';

describe('SharedRetryBudget', () => {
  it('allows retries up to the ratio of recent requests plus the slack, and no more', () => {
    const budget = SharedRetryBudget.create(10_000);
    for (let n = 0; n < 50; n++) budget.addRequest(1_000);
    const allowed = Array.from({ length: 30 }, () => budget.consumeRetry(1_500, 0.2, 5));
    expect(allowed.filter(Boolean)).toHaveLength(15);
  });

  it.each<[string, number, number]>([
    ['counts retries within the window', 9_900, 0],
    ['drops counts that left the window', 21_000, 5],
    ['drops all counts after a long pause', 900_000, 5],
  ])('%s', (_name, at, expected) => {
    const budget = SharedRetryBudget.create(10_000);
    for (let n = 0; n < 5; n++) budget.consumeRetry(500, 0, 5);
    const allowed = Array.from({ length: 9 }, () => budget.consumeRetry(at, 0, 5));
    expect(allowed.filter(Boolean)).toHaveLength(expected);
  });

  it('allows no more than the slack in any span of one window', () => {
    const budget = SharedRetryBudget.create(10_000);
    const allowedAt: number[] = [];
    for (let now = 950; now <= 60_000; now += 50) {
      // Bursts at the end of a bucket fall out of a count by whole buckets too early.
      if (now % 1_000 === 950 || now % 1_000 === 0)
        while (budget.consumeRetry(now, 0, 5)) allowedAt.push(now);
    }
    const worst = allowedAt.map(
      (from) => allowedAt.filter((at) => at >= from && at < from + 10_000).length,
    );
    expect(Math.max(...worst)).toBe(5);
  });
});
