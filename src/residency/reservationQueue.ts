import {
  EXPECTED_LOAD_MS,
  MAX_QUEUE_DELAY_MS,
  EXPECTED_FIRST_EVENT_MS,
  QUEUE_DELAY_PER_TOKEN_MS,
} from './constants.ts';
import { getPrefillBacklogMs, getPrefillMs } from './prefill.ts';
import type { EngineResidency, QueuedReservation } from './types.ts';

/**
 * Sorts the queue of an engine. Requests that can still meet their goal come first. Among them,
 * requests whose adapter is resident but unused precede the others, so that its slot soon becomes free
 * again; then older requests precede younger ones. Long answers count as younger, since they occupy a
 * slot and the batch for longer. Late requests follow, the latest deadline first: serving a late
 * request makes another one late while the queue is long.
 */
export function sortReservationQueue(owned: EngineResidency, now: number): void {
  const late = new Map(owned.queue.map((queued) => [queued, isLate(owned, queued, now)]));
  owned.queue.sort((a, b) => {
    const lateA = late.get(a) === true;
    const lateB = late.get(b) === true;
    if (lateA !== lateB) return lateA ? 1 : -1;
    if (lateA) return b.deadlineAt - a.deadlineAt;
    const idleA = holdsIdleCopy(owned, a);
    const idleB = holdsIdleCopy(owned, b);
    if (idleA !== idleB) return idleA ? -1 : 1;
    return getQueueRank(a) - getQueueRank(b);
  });
}

/** Whether the adapter of a reservation request is resident and has no reservations. */
function holdsIdleCopy(owned: EngineResidency, { adapter }: QueuedReservation): boolean {
  const copy = owned.copies.get(adapter);
  return copy?.phase === 'resident' && copy.reservations === 0;
}

/** Whether the first event would miss the goal even if the reservation were granted now. */
function isLate(owned: EngineResidency, queued: QueuedReservation, now: number): boolean {
  const backlogMs = getPrefillBacklogMs(owned);
  const prefillMs = getPrefillMs(queued.promptTokens);
  return (
    now + getLoadMs(owned, queued, now) + backlogMs + prefillMs + EXPECTED_FIRST_EVENT_MS >
    queued.goalAt
  );
}

/** Returns the expected time until the adapter is resident if its load begins now, in ms. */
function getLoadMs(owned: EngineResidency, { adapter }: QueuedReservation, now: number): number {
  if (adapter === '') return 0;
  const copy = owned.copies.get(adapter);
  if (copy?.phase === 'resident') return 0;
  if (copy?.phase === 'loading') return Math.max(0, copy.orderedAt + EXPECTED_LOAD_MS - now);
  return EXPECTED_LOAD_MS;
}

/** Returns the sort key among requests that are on time: arrival plus a delay for long answers. */
function getQueueRank({ arrivedAt, outputTokens }: QueuedReservation): number {
  return arrivedAt + Math.min(MAX_QUEUE_DELAY_MS, outputTokens * QUEUE_DELAY_PER_TOKEN_MS);
}
