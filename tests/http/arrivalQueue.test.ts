import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ArrivalQueue } from '../../src/http/arrivalQueue.ts';

/** Time that taking a request takes; rejecting one, or dropping one whose caller has left, takes none. */
const TAKE_MS = 20;
const CAPACITY_PER_S = 1_000 / TAKE_MS;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** Callers that send `perS` requests a second for `durationMs` and leave after `waitMs`. */
interface Load {
  perS: number;
  durationMs: number;
  waitMs: number;
}

/** Plays loads one after the other to one queue, and returns what became of the requests of each. */
function play(loads: readonly Load[]) {
  const jobs: (() => void)[] = [];
  const queue = ArrivalQueue.create({
    turns: { push: (_kind, job) => jobs.push(job) },
    getFraction: () => 0.5,
    onResult: () => undefined,
  });
  let freeAt = performance.now();
  const results = loads.map(({ perS, durationMs, waitMs }) => {
    const counts = { sent: 0, taken: 0, takenLate: 0, rejected: 0, rejectedLate: 0 };
    const send = (): void => {
      const sentAt = performance.now();
      const hasCallerLeft = (): boolean => performance.now() >= sentAt + waitMs;
      counts.sent += 1;
      queue.push({
        getWaitMs: () => waitMs,
        hasCallerLeft,
        take: () => {
          freeAt = performance.now() + TAKE_MS;
          counts.taken += 1;
          if (performance.now() + TAKE_MS > sentAt + waitMs) counts.takenLate += 1;
        },
        reject: () => {
          counts.rejected += 1;
          if (performance.now() > sentAt + waitMs / 2) counts.rejectedLate += 1;
        },
      });
    };
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs++) {
      while (counts.sent < (elapsedMs * perS) / 1_000) send();
      while (performance.now() >= freeAt && jobs.length > 0) jobs.shift()?.();
      vi.advanceTimersByTime(1);
    }
    return counts;
  });
  return results;
}

describe('a host', () => {
  const WAIT_MS = 600;

  it.each([0.2, 0.8, 0.95])('that is asked for %d of what it can do takes all', (load) => {
    const [result] = play([{ perS: load * CAPACITY_PER_S, durationMs: 4_000, waitMs: WAIT_MS }]);
    expect(result?.rejected).toBe(0);
    expect(result?.taken).toBeGreaterThanOrEqual((result?.sent ?? 0) - 1);
  });

  // Guards against a host that takes what nobody waits for any more, and rejects nothing.
  it.each([1.5, 3, 10])('that is asked for %d times what it can do takes what it can', (load) => {
    const durationMs = 6_000;
    const [result] = play([{ perS: load * CAPACITY_PER_S, durationMs, waitMs: WAIT_MS }]);
    expect(result?.takenLate).toBe(0);
    expect(result?.rejectedLate).toBe(0);
    const possible = (CAPACITY_PER_S * durationMs) / 1_000;
    expect(result?.taken).toBeGreaterThan(0.95 * possible);
    expect(result?.rejected).toBeGreaterThan(0.8 * ((result?.sent ?? 0) - possible));
  });

  it('that was overloaded takes all again as soon as the load has fallen', () => {
    const [, quiet, calm] = play([
      { perS: 5 * CAPACITY_PER_S, durationMs: 5_000, waitMs: WAIT_MS },
      { perS: 0, durationMs: 500, waitMs: WAIT_MS },
      { perS: 0.8 * CAPACITY_PER_S, durationMs: 2_000, waitMs: WAIT_MS },
    ]);
    expect(quiet?.sent).toBe(0);
    expect(calm?.rejected).toBe(0);
  });
});
