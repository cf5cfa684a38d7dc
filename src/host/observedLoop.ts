import type { Effect } from '../core/effects.ts';
import { newObserve } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import type { PollClock } from '../eventLoop/pollClock.ts';
import { Loop } from './loop.ts';
import type { Observer } from './observer.ts';
import { describeError } from './processErrors.ts';
import { getRequestId } from './requestIds.ts';

/**
 * Creates a loop that records the duration of its turns, logs handlers and effects that throw, and answers
 * their requests.
 */
export function newObservedLoop(options: {
  state: State;
  observer: Observer;
  /** Learns of the timers of the loop that run late. */
  pollClock: PollClock;
  runEffect: (effect: Effect) => void;
  /** Gives a request its final answer, or closes its connection if the answer has begun; never throws. */
  abandonRequest: (id: string, failure: Failure) => void;
}): Loop {
  const { state, observer, pollClock, runEffect, abandonRequest } = options;
  return Loop.create({
    state,
    runEffect,
    onTimer: (dueAt) => pollClock.recordTimer(dueAt),
    onTurn: (turnMs) => observer.observe(newObserve('fireflywick_loop_turn_ms', {}, turnMs)),
    onError: (step, error) => {
      const requestId = getRequestId(step);
      const reason = describeError(error);
      const fields = { event: step.type, hostRequestId: requestId, reason };
      observer.logger.write('error', 'event handler failed', fields);
      if (requestId === undefined) return;
      const message = `handling "${step.type}" failed on this host`;
      abandonRequest(requestId, Failure.create('internal', message));
    },
  });
}
