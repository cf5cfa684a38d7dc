import type { Effect } from '../core/effects.ts';
import { newObserve } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { Loop } from './loop.ts';
import type { Observer } from './observer.ts';
import { describeError } from './processErrors.ts';

/** Creates a loop that records the duration of its turns and logs events whose handlers throw. */
export function newObservedLoop(options: {
  state: State;
  observer: Observer;
  runEffect: (effect: Effect) => void;
}): Loop {
  const { state, observer, runEffect } = options;
  return Loop.create({
    state,
    runEffect,
    onTurn: (turnMs) => observer.observe(newObserve('fireflywick_loop_turn_ms', {}, turnMs)),
    onError: (event, error) => {
      const reason = describeError(error);
      observer.logger.write('error', 'event handler failed', { event: event.type, reason });
    },
  });
}
