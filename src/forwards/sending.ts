import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EndpointView } from '../fleet/types.ts';
import { MAX_ROUNDS, MAX_SENDS, MIN_ATTEMPT_MS, RETRY_BASE_MS, RETRY_MAX_MS } from './constants.ts';
import { giveUp } from './ending.ts';
import { takeRepeat } from './retrying.ts';
import type { Forward } from './types.ts';

/** Sends a request to an endpoint; gives up when the retry budget does not allow it. */
export function sendTo(
  state: State,
  forward: Forward,
  view: EndpointView,
  owner: string | undefined,
  version: number | undefined,
  now: number,
): Effect[] {
  if (forward.deadlineAt - now < MIN_ATTEMPT_MS) return giveUp(state, forward, 'no time is left');
  if (forward.sends > 0 && !takeRepeat(state, forward.service, now)) {
    return giveUp(state, forward, `the retry budget is used up: ${forward.lastReason}`);
  }
  forward.sends += 1;
  forward.sentAt ??= now;
  forward.phase = 'running';
  forward.asked = undefined;
  view.inFlight += 1;
  const { id: endpoint, address } = view.endpoint;
  const attempt = `${forward.id}.${forward.sends}`;
  forward.attempt = { id: attempt, endpoint, owner, startedAt: now };
  const { route, labels } = forward;
  return [
    {
      type: 'sendForward',
      order: {
        id: forward.id,
        attempt,
        endpoint,
        address,
        isStream: route.kind === 'stream',
        deadlineAt: forward.deadlineAt,
        priority: labels.model === '' ? undefined : Math.min(9, route.priority + 4),
        version,
        resumeAfter: forward.lastEventId,
      },
    },
  ];
}

/** Tries a request again after a pause, or gives up when it was turned away too often. */
export function retryLater(state: State, forward: Forward, reason: string, now: number): Effect[] {
  forward.lastReason = reason;
  forward.asked = undefined;
  forward.rounds += 1;
  if (forward.rounds > MAX_ROUNDS) return giveUp(state, forward, reason);
  if (forward.sends >= MAX_SENDS) {
    return giveUp(state, forward, `it was turned away ${forward.sends} times: ${reason}`);
  }
  forward.phase = 'backoff';
  forward.ask += 1;
  const limit = Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** Math.min(8, forward.ask));
  const at = now + limit * (0.5 + state.random.getFraction() / 2);
  schedule(state, at, { type: 'forwardRetry', id: forward.id });
  return [];
}
