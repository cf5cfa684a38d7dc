import { ENDPOINT_BACKOFF_BASE_MS, ENDPOINT_BACKOFF_MAX_MS, EWMA_WEIGHT } from './constants.ts';
import type { EndpointView } from './types.ts';

/** Records an answer after `elapsedMs`; `isGood` is false for the endpoint's own failures. */
export function recordAnswer(view: EndpointView, elapsedMs: number, isGood: boolean): void {
  view.consecutiveFailures = 0;
  view.backoffUntil = -Infinity;
  view.meanAnswerMs = view.meanAnswerMs === 0 ? elapsedMs : getMean(view.meanAnswerMs, elapsedMs);
  view.failureRate = getMean(view.failureRate, isGood ? 0 : 1);
}

/** Records an attempt without an answer and starts an exponential backoff. */
export function recordUnansweredAttempt(view: EndpointView, now: number): void {
  const backoffMs = Math.min(
    ENDPOINT_BACKOFF_MAX_MS,
    ENDPOINT_BACKOFF_BASE_MS * 2 ** view.consecutiveFailures,
  );
  view.consecutiveFailures = Math.min(view.consecutiveFailures + 1, 16);
  view.backoffUntil = now + backoffMs;
  view.failureRate = getMean(view.failureRate, 1);
}

function getMean(mean: number, value: number): number {
  return mean + EWMA_WEIGHT * (value - mean);
}
