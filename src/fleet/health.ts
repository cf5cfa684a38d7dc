import { AVOID_BASE_MS, AVOID_MAX_MS, MEAN_WEIGHT } from './constants.ts';
import type { EndpointView } from './types.ts';

/** Notes an answer that took `elapsedMs`; `isGood` is false for the endpoint's own failures. */
export function noteAnswer(view: EndpointView, elapsedMs: number, isGood: boolean): void {
  view.failures = 0;
  view.avoidUntil = -Infinity;
  view.meanMs = view.meanMs === 0 ? elapsedMs : getMean(view.meanMs, elapsedMs);
  view.failureShare = getMean(view.failureShare, isGood ? 0 : 1);
}

/** Notes an attempt without an answer; the endpoint is passed over for a time that doubles. */
export function noteSilence(view: EndpointView, now: number): void {
  const avoidMs = Math.min(AVOID_MAX_MS, AVOID_BASE_MS * 2 ** view.failures);
  view.failures = Math.min(view.failures + 1, 16);
  view.avoidUntil = now + avoidMs;
  view.failureShare = getMean(view.failureShare, 1);
}

function getMean(mean: number, value: number): number {
  return mean + MEAN_WEIGHT * (value - mean);
}
