import { describe, expect, it } from 'vitest';
import { RouteDurations } from '../../src/forwards/routeDurations.ts';
import { canEndBeforeStop } from '../../src/forwards/stopAdmission.ts';
import type { Route } from '../../src/routes/types.ts';
import { DirectoryHost } from '../helpers/directoryHost.ts';

const NOW = 1_000;
const STOP_AT = 4_000;
const LATE = 9_000;

// Guards against requests that are taken by a host that stops before they end, and against hosts that
// refuse what they could still serve.
describe('a host that stops in 3 s', () => {
  it.each<[string, Partial<Route>, number[], number, boolean]>([
    ['takes a request whose deadline is earlier', { kind: 'unsafe' }, [], STOP_AT, true],
    ['refuses one whose duration is unknown', { kind: 'unsafe' }, [], LATE, false],
    ['takes one of a quick route', { kind: 'unsafe' }, [200, 2_900, 300], LATE, true],
    [
      'refuses one of a route that took longer once',
      { kind: 'unsafe' },
      [200, 3_100, 300],
      LATE,
      false,
    ],
    ['takes one that may be repeated', { kind: 'safe' }, [200, 3_100, 300, 300], LATE, true],
    [
      'refuses one that may be repeated of a slow route',
      { kind: 'safe' },
      [3_100, 3_200],
      LATE,
      false,
    ],
    [
      'takes a stream that may be resumed',
      { kind: 'stream', isResumable: true },
      [1, 1, 1, 5_000],
      LATE,
      true,
    ],
    [
      'refuses a stream that may not',
      { kind: 'stream', isResumable: false },
      [1, 1, 1, 5_000],
      LATE,
      false,
    ],
  ])('%s', (_name, change, durations, deadlineAt, isTaken) => {
    const { state } = DirectoryHost.create('h0', 'z1', NOW);
    const route = { name: 'r', kind: 'unsafe', isResumable: false, ...change } as Route;
    expect(canEndBeforeStop(state, route, deadlineAt, NOW)).toBe(true);
    state.stopAt = STOP_AT;
    for (const duration of durations) state.forwards.durations.add('r', duration);
    expect(canEndBeforeStop(state, route, deadlineAt, NOW)).toBe(isTaken);
  });
});

it('keeps the durations of the last requests of a route only, and of a bounded number of routes', () => {
  const durations = RouteDurations.create();
  durations.add('r', 9_000);
  for (let count = 0; count < 32; count++) durations.add('r', count);
  expect(durations.getQuantile('r', 1)).toBe(31);
  for (let count = 0; count < 1_024; count++) durations.add(`r${count}`, 1);
  expect(durations.getQuantile('r', 1)).toBeUndefined();
  expect(durations.getQuantile('r1023', 1)).toBe(1);
});
