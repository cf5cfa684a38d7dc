import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { PATH_SILENCE_MS } from '../paths/constants.ts';
import { mayRunAgain } from './repetition.ts';

/**
 * Breaks off the attempts over a path (`relay`, or direct connections) that wait in vain and may be sent
 * again. Others keep waiting: they may have run, and their answer may still arrive.
 */
export function breakSilentAttempts({ forwards }: State, relay: string | undefined): Effect[] {
  return [...forwards.inFlight.values()].flatMap((forward): Effect[] => {
    const { attempt } = forward;
    if (attempt === undefined || attempt.relay !== relay || !mayRunAgain(forward)) return [];
    return [{ type: 'breakSilentAttempt', attempt: attempt.id, silentMs: PATH_SILENCE_MS }];
  });
}
