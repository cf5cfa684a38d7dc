import { describe, expect, it, vi } from 'vitest';
import { newLog } from '../../src/core/observations.ts';
import { reduce } from '../../src/core/reduce.ts';
import { schedule, type Timer } from '../../src/core/timers.ts';
import type { Effect } from '../../src/core/effects.ts';
import type { Event } from '../../src/core/events.ts';
import { TimerError } from '../../src/core/timerError.ts';
import { Failure } from '../../src/errors/failure.ts';
import { type FailedStep, Loop } from '../../src/host/loop.ts';
import { getRequestId } from '../../src/host/requestIds.ts';
import { DirectoryHost } from '../helpers/directoryHost.ts';

vi.mock('../../src/core/reduce.ts', { spy: true });

const FAILURE = Failure.create('internal', 'planned');
const FIRST: Effect = newLog('info', 'first');
const FAILING: Effect = { type: 'passResponse', id: 'f1' };
const LAST: Effect = { type: 'failForward', id: 'f2', failure: FAILURE };

/** Runs an event whose handling `plan` replaces; returns the effects that ran and what failed. */
function runEvent(event: Event, plan: () => Effect[]) {
  const run: Effect[] = [];
  const failed: FailedStep[] = [];
  const { state } = DirectoryHost.create('h0', 'z1', 0);
  const loop = Loop.create({
    state,
    runEffect: (effect) => {
      if (effect === FAILING) throw new Error('planned');
      run.push(effect);
    },
    onTimer: () => undefined,
    onTurn: () => undefined,
    onError: (step) => failed.push(step),
  });
  vi.mocked(reduce).mockReset();
  vi.mocked(reduce).mockImplementationOnce(plan).mockReturnValue([]);
  loop.dispatch(event);
  const events = vi.mocked(reduce).mock.calls.map(([, { type }]) => type);
  loop.stop();
  return { run, failed, events };
}

// Guards against effects that are dropped, and requests that are never answered, because another one failed.
describe('what throws in a turn does not cost the rest of the turn', () => {
  it('an effect', () => {
    const { run, failed } = runEvent({ type: 'tick' }, () => [FIRST, FAILING, LAST]);
    expect(run).toEqual([FIRST, LAST]);
    expect(failed).toEqual([FAILING]);
  });

  it('the handler of an event', () => {
    const event: Event = { type: 'forwardCancelled', id: 'f1' };
    const { run, failed } = runEvent(event, () => {
      throw new Error('planned');
    });
    expect(run).toEqual([]);
    expect(failed).toEqual([event]);
  });

  it('the handler of a timer, after which the timers that are due with it run', () => {
    const timer: Timer = { type: 'forwardDeadline', id: 'f1' };
    const { run, failed, events } = runEvent({ type: 'tick' }, () => {
      throw TimerError.create(timer, [FIRST, LAST], new Error('planned'));
    });
    expect(run).toEqual([FIRST, LAST]);
    expect(failed).toEqual([timer]);
    expect(events).toEqual(['tick', 'tick']);
  });
});

it('the error of a timer holds the effects of the timers before it', () => {
  vi.mocked(reduce).mockRestore();
  const { state } = DirectoryHost.create('h0', 'z1', 0);
  schedule(state, 1, { type: 'unknownTimer' } as unknown as Timer);
  expect(() => reduce(state, { type: 'tick' }, 2_000)).toThrow(TimerError);
});

it.each<[string, FailedStep, string | undefined]>([
  ['an effect', FAILING, 'f1'],
  ['an event with a request', { type: 'forwardCancelled', id: 'f3' }, 'f3'],
  ['a timer of a draft', { type: 'draftAcceptTimeout', draft: 'd1' }, 'd1'],
  ['a timer of an operator', { type: 'retryConfirm', requestId: 'o1' }, 'o1'],
  [
    'an answer of the table',
    {
      type: 'tableAnswered',
      purpose: { type: 'readClaim', id: 'a1' },
      answer: { type: 'missing' },
      sentAt: 0,
    },
    'a1',
  ],
  ['a log line', FIRST, undefined],
  ['an event without a request', { type: 'started' }, undefined],
])('finds the request of %s', (_name, step, id) => {
  expect(getRequestId(step)).toBe(id);
});
