import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { recordStream } from './resumption.ts';
import type { Forward } from './types.ts';

/**
 * Marks the software version of attempts as unknown that are in flight at an endpoint which is found to
 * have restarted with another one: its earlier or its new process may run them.
 */
export function markRestartedAttempts(state: State, endpoint: string, now: number): Effect[] {
  const current = state.fleet.views.get(endpoint)?.endpoint;
  if (current === undefined) return [];
  const { startedAt, softwareVersion } = current;
  return [...state.forwards.inFlight.values()].flatMap((forward) => {
    const { attempt } = forward;
    if (attempt?.endpoint !== endpoint || attempt.endpointStartedAt === startedAt) return [];
    if (attempt.softwareVersion === softwareVersion) return [];
    attempt.softwareVersion = undefined;
    return markOriginUnknown(state, forward, now);
  });
}

/** Lets nothing resume a stream that has begun, as its events may be of another software version. */
function markOriginUnknown(state: State, forward: Forward, now: number): Effect[] {
  const { origin, attempt, labels } = forward;
  if (origin === undefined) return [];
  forward.origin = { softwareVersion: undefined };
  return [
    newLog('info', 'software version of a stream is unknown', {
      requestId: labels.attemptId,
      endpoint: attempt?.endpoint,
      reason: 'the endpoint restarted with another version',
    }),
    ...recordStream(state, forward, now),
  ];
}
