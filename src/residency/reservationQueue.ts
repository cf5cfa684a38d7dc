import {
  EXPECTED_LOAD_MS,
  MAX_QUEUE_DELAY_MS,
  EXPECTED_FIRST_EVENT_MS,
  QUEUE_DELAY_PER_TOKEN_MS,
} from './constants.ts';
import { getPrefillBacklogMs, getPrefillMs } from './prefill.ts';
import type { EngineResidency, QueuedReservation } from './types.ts';

/**
 * Sorts the asks of an engine. Those that can still be on time come first: of these, those whose
 * adapter waits in a slot of its own, so that the slot is free again soon, then by age, where a long
 * answer counts as younger since it keeps a slot and its place in the batch for longer. Late ones
 * follow, the one with most time left first: a place that is spent on a late answer makes another
 * one late while the queue is long.
 */
export function sortReservationQueue(owned: EngineResidency, now: number): void {
  const late = new Map(owned.queue.map((ask) => [ask, isLate(owned, ask, now)]));
  owned.queue.sort((a, b) => {
    const lateA = late.get(a) === true;
    const lateB = late.get(b) === true;
    if (lateA !== lateB) return lateA ? 1 : -1;
    if (lateA) return b.deadlineAt - a.deadlineAt;
    const idleA = holdsIdleCopy(owned, a);
    const idleB = holdsIdleCopy(owned, b);
    if (idleA !== idleB) return idleA ? -1 : 1;
    return getStart(a) - getStart(b);
  });
}

/** Whether the adapter of an ask takes a slot that no request uses yet. */
function holdsIdleCopy(owned: EngineResidency, { adapter }: QueuedReservation): boolean {
  const copy = owned.copies.get(adapter);
  return copy?.phase === 'resident' && copy.reservations === 0;
}

/** Whether the first event of an answer would come after the goal if the ask got its place now. */
function isLate(owned: EngineResidency, ask: QueuedReservation, now: number): boolean {
  const backlogMs = getPrefillBacklogMs(owned);
  const readMs = getPrefillMs(ask.promptTokens);
  return (
    now + getLoadMs(owned, ask, now) + backlogMs + readMs + EXPECTED_FIRST_EVENT_MS > ask.goalAt
  );
}

/** Returns the time until the adapter of an ask can be used, if its load began now. */
function getLoadMs(owned: EngineResidency, { adapter }: QueuedReservation, now: number): number {
  if (adapter === '') return 0;
  const copy = owned.copies.get(adapter);
  if (copy?.phase === 'resident') return 0;
  if (copy?.phase === 'loading') return Math.max(0, copy.orderedAt + EXPECTED_LOAD_MS - now);
  return EXPECTED_LOAD_MS;
}

function getStart({ arrivedAt, outputTokens }: QueuedReservation): number {
  return arrivedAt + Math.min(MAX_QUEUE_DELAY_MS, outputTokens * QUEUE_DELAY_PER_TOKEN_MS);
}
