import type { QueuedPlace } from './types.ts';

/**
 * Order of the asks of an engine: those that can still be on time come first, by urgency and age;
 * late ones follow, the one with most time left first, as it is the likeliest to be answered.
 */
export function compareAsks(a: QueuedPlace, b: QueuedPlace, now: number): number {
  const lateA = a.goalAt <= now;
  const lateB = b.goalAt <= now;
  if (lateA !== lateB) return lateA ? 1 : -1;
  if (lateA) return b.deadlineAt - a.deadlineAt;
  return a.priority - b.priority || a.arrivedAt - b.arrivedAt;
}
