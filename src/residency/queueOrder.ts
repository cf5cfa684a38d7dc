import { MAX_TOKEN_DELAY_MS, TOKEN_DELAY_MS } from './constants.ts';
import type { QueuedPlace } from './types.ts';

/**
 * Order of the asks of an engine: those that can still be on time come first, by age, where a long
 * answer counts as younger since it keeps a slot and its place in the batch for longer; late ones
 * follow, the one with most time left first, as it is the likeliest to be answered.
 */
export function compareAsks(a: QueuedPlace, b: QueuedPlace, now: number): number {
  const lateA = a.goalAt <= now;
  const lateB = b.goalAt <= now;
  if (lateA !== lateB) return lateA ? 1 : -1;
  if (lateA) return b.deadlineAt - a.deadlineAt;
  return getStart(a) - getStart(b);
}

function getStart({ arrivedAt, outputTokens }: QueuedPlace): number {
  return arrivedAt + Math.min(MAX_TOKEN_DELAY_MS, outputTokens * TOKEN_DELAY_MS);
}
