import type { Effect } from '../core/effects.ts';
import { newCount } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import { getAttributeKind } from '../suspects/attributes.ts';
import { getQuarantine, newTrials, type Quarantine } from '../suspects/quarantine.ts';
import { publishSuspects } from '../suspects/suspectReports.ts';
import { MAX_QUARANTINE_RETRY_AFTER_MS } from './constants.ts';
import { cancelRunningAttempt, refuseForward, rejectForward } from './forwardEnd.ts';
import type { Forward, NewForward } from './types.ts';

/** Refuses a request that arrived with a quarantined attribute. */
export function rejectQuarantined(
  state: State,
  arrival: NewForward,
  quarantine: Quarantine,
): Effect[] {
  return [
    newRefusalCount(quarantine),
    ...rejectForward(state, arrival, newQuarantineFailure(quarantine)),
  ];
}

/** Ends a request because of a quarantine; it may have run if it was sent before. */
export function endQuarantined(state: State, forward: Forward, quarantine: Quarantine): Effect[] {
  const failure = newQuarantineFailure(quarantine);
  forward.mayHaveRun ||= forward.attempt !== undefined || forward.ranOn.size > 0;
  const effects = [
    newRefusalCount(quarantine),
    ...cancelRunningAttempt(state, forward, failure.message),
  ];
  return [...effects, ...refuseForward(state, forward, failure)];
}

/**
 * Ends the requests in flight that have a quarantined attribute, except trials and those whose response
 * has started: the endpoints work on them without a crash.
 */
export function endQuarantinedForwards(state: State, now: number): Effect[] {
  return [...state.forwards.inFlight.values()].flatMap((forward) => {
    if (forward.isTrial || forward.hasResponseStarted) return [];
    const quarantine = getQuarantine(state, forward.attributes, now);
    return quarantine === undefined ? [] : endQuarantined(state, forward, quarantine);
  });
}

/** Makes a request a trial if one of its attributes is quarantined, which keeps others from running. */
export function startTrial(state: State, forward: Forward, now: number): Effect[] {
  const trials = newTrials(state, forward.attributes);
  if (forward.isTrial || trials.length === 0) return [];
  forward.isTrial = true;
  return publishSuspects(state, trials, now);
}

function newQuarantineFailure({ attribute, remainingMs }: Quarantine): Failure {
  const kind = getAttributeKind(attribute);
  const message = `endpoints crashed while they ran requests with ${kind} "${attribute}"`;
  const retryAfterS = Math.ceil(Math.min(remainingMs, MAX_QUARANTINE_RETRY_AFTER_MS) / 1_000);
  return Failure.create('service_unavailable', message, { retryAfterS });
}

function newRefusalCount({ attribute }: Quarantine): Effect {
  const kind = getAttributeKind(attribute);
  return newCount('fireflywick_quarantine_refusals_total', { kind });
}
