import { describe, expect, it } from 'vitest';
import { getTimeLeftMs } from '../../src/arrivals/deadline.ts';
import { getMaxWaitMs, getReturnMs, isBacklogTooLong } from '../../src/arrivals/overload.ts';

describe('a request is rejected on arrival if others have waited for too long', () => {
  const CASES: [string, number | undefined, number | undefined, number, boolean][] = [
    ['nothing waits', undefined, undefined, 1_000, false],
    ['the host caught up a moment ago', 900, 900, 100, false],
    ['requests wait without a break, each for a short time', 0, 950, 1_000, false],
    ['the next request has waited for long', 0, 700, 1_000, true],
    ['the next request has waited for long, for one with little time', 0, 930, 250, true],
    ['the next request has waited for a moment, for one with little time', 0, 970, 250, false],
    ['the next request has waited for long, for one without a limit', 0, 700, Infinity, true],
  ];

  it.each(CASES)('%s', (_name, since, firstQueuedAt, callerWaitMs, isRejected) => {
    expect(isBacklogTooLong({ since, firstQueuedAt }, () => callerWaitMs, 1_000)).toBe(isRejected);
  });
});

it.each([
  [200, 50],
  [1_000, 250],
  [60_000, 250],
  [-5, -1.25],
])('a request whose caller waits for %d ms waits for at most %d ms', (callerWaitMs, waitMs) => {
  expect(getMaxWaitMs(callerWaitMs)).toBe(waitMs);
});

it.each([
  [0, 125],
  [0.5, 250],
  [0.999, 375],
])('rejected callers return at different times (%d)', (fraction, ms) => {
  expect(getReturnMs(fraction)).toBe(ms);
});

// Guards against deadlines that are counted from the time at which a late host reads a request.
it.each([
  ['read at once', 1_000, 0, 1_000],
  ['read late', 1_000, 300, 700],
  ['read so late that its caller would have left, which it has not', 1_000, 5_000, 500],
  ['whose time had passed when it was sent', -10, 300, -10],
  ['without a limit', Infinity, 300, Infinity],
])('the time left to a request %s', (_name, waitMs, readDelayMs, leftMs) => {
  expect(getTimeLeftMs(waitMs, readDelayMs)).toBe(leftMs);
});
