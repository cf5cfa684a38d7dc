import { ENDPOINT_BACKOFF_BASE_MS, ENDPOINT_BACKOFF_MAX_MS, EWMA_WEIGHT } from './constants.ts';
import type { EndpointView } from './types.ts';

/** Notes an answer that took `elapsedMs`; `isGood` is false for the endpoint's own failures. */
export function recordAnswer(view: EndpointView, elapsedMs: number, isGood: boolean): void {
  view.consecutiveFailures = 0;
  view.backoffUntil = -Infinity;
  view.meanAnswerMs = view.meanAnswerMs === 0 ? elapsedMs : getMean(view.meanAnswerMs, elapsedMs);
  view.failureRate = getMean(view.failureRate, isGood ? 0 : 1);
}

/** Notes an attempt without an answer; the endpoint is passed over for a time that doubles. */
export function recordUnansweredAttempt(view: EndpointView, now: number): void {
  const avoidMs = Math.min(
    ENDPOINT_BACKOFF_MAX_MS,
    ENDPOINT_BACKOFF_BASE_MS * 2 ** view.consecutiveFailures,
  );
  view.consecutiveFailures = Math.min(view.consecutiveFailures + 1, 16);
  view.backoffUntil = now + avoidMs;
  view.failureRate = getMean(view.failureRate, 1);
}

function getMean(mean: number, value: number): number {
  return mean + EWMA_WEIGHT * (value - mean);
}
