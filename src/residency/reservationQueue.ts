import {
  EXPECTED_LOAD_MS,
  MAX_QUEUE_DELAY_MS,
  EXPECTED_FIRST_EVENT_MS,
  QUEUE_DELAY_PER_TOKEN_MS,
  URGENT_MS,
} from './constants.ts';
import { getLoadLeftMs } from './copies.ts';
import { getPrefillBacklogMs, getPrefillMs, isLongPrompt } from './prefill.ts';
import type { EngineResidency, QueuedReservation } from './types.ts';

/** What orders callers among each other. */
export interface CallerOrder {
  /** Whether the deployment has tenants, whose requests are ranked. */
  hasRanks: boolean;
  /** Tenants that used more than their share lately. */
  overusers: ReadonlySet<string>;
}

/**
 * Sorts the queue of an engine for the load of more requests than it starts in time. Requests that can still
 * meet their goal come first. Among them, the more urgent rank precedes, then tenants that used no more than
 * their share. Then a request that has to start now to be on time precedes those that can wait; of the others,
 * those whose adapter is resident but unused do, so that its slot soon becomes free again, then short prompts,
 * then older requests. Long answers count as younger, since they occupy a slot and the batch for longer.
 * Late requests follow, the latest deadline first: serving a late request makes another one late while the
 * queue is long.
 */
export function sortReservationQueue(
  owned: EngineResidency,
  order: CallerOrder,
  now: number,
): void {
  const positions = new Map(
    owned.queue.map((queued) => [queued, newPosition(owned, order, queued, now)]),
  );
  owned.queue.sort((a, b) => comparePositions(positions.get(a), positions.get(b)));
}

/** What decides the place of a request in the queue, the most important first; the lowest value precedes. */
type Position = readonly number[];

function newPosition(
  owned: EngineResidency,
  { hasRanks, overusers }: CallerOrder,
  queued: QueuedReservation,
  now: number,
): Position {
  const slackMs = getSlackMs(owned, queued, now);
  if (slackMs < 0) return [1, -queued.deadlineAt];
  const isUrgent = slackMs < URGENT_MS;
  return [
    0,
    hasRanks ? (queued.priority ?? 0) : 0,
    Number(overusers.has(queued.tenant ?? '')),
    Number(!isUrgent),
    Number(!holdsIdleCopy(owned, queued)),
    Number(!isUrgent && isLongPrompt(queued.promptTokens)),
    getQueueRank(queued),
  ];
}

function comparePositions(a: Position = [], b: Position = []): number {
  for (const [index, value] of a.entries()) {
    const difference = value - (b[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}

/** Whether the adapter of a reservation request is resident and has no reservations. */
function holdsIdleCopy(owned: EngineResidency, { adapter }: QueuedReservation): boolean {
  const copy = owned.copies.get(adapter);
  return copy?.phase === 'resident' && copy.reservations === 0;
}

/** Returns for how long a request can wait without missing its goal, in ms; below 0 if it is late anyway. */
function getSlackMs(owned: EngineResidency, queued: QueuedReservation, now: number): number {
  const backlogMs = getPrefillBacklogMs(owned);
  const prefillMs = getPrefillMs(queued.promptTokens, owned.speed.rate);
  const startMs = getLoadMs(owned, queued, now) + backlogMs + prefillMs + EXPECTED_FIRST_EVENT_MS;
  return queued.goalAt - now - startMs;
}

/** Returns the expected time until the adapter is resident if its load begins now, in ms. */
function getLoadMs(owned: EngineResidency, { adapter }: QueuedReservation, now: number): number {
  if (adapter === '') return 0;
  return getLoadLeftMs(owned.copies.get(adapter), now) ?? EXPECTED_LOAD_MS;
}

/** Returns the sort key among requests that are on time: arrival plus a delay for long answers. */
function getQueueRank({ arrivedAt, outputTokens }: QueuedReservation): number {
  return arrivedAt + Math.min(MAX_QUEUE_DELAY_MS, outputTokens * QUEUE_DELAY_PER_TOKEN_MS);
}
