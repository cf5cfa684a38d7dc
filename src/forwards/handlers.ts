import type { EventHandlers, MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { newCount } from '../core/observations.ts';
import { Failure } from '../errors/failure.ts';
import { admitForward } from './forwardAdmission.ts';
import { endForwardAttempt, startForwardResponse } from './forwardAttempts.ts';
import {
  abandonForward,
  cancelRunningAttempt,
  endForward,
  failForward,
  releaseForwardReservation,
} from './forwardEnd.ts';
import { placeForward } from './forwardPlacement.ts';
import { recordPermitRefusal } from './limitedPlacement.ts';
import { handleEndpointCheck, verifyCrash } from './crashEvidence.ts';
import { endQuarantinedForwards } from './quarantinedForwards.ts';
import { endForwardsAtStop } from './stopAdmission.ts';
import { scheduleRetry } from './sending.ts';
import { acceptReservation } from './reservationAnswers.ts';
import { endLookup, handleLookupAnswer } from './resumption.ts';
import type { StreamLookupTimer } from '../streams/types.ts';
import type { ForwardEvent, ForwardTimer } from './types.ts';

export const forwardEvents: EventHandlers<ForwardEvent['type']> = {
  forwardArrived: (state, { forward }, now) => admitForward(state, forward, now),
  forwardCancelled: (state, { id }) => {
    const forward = state.forwards.inFlight.get(id);
    if (forward === undefined) return [];
    const reason = 'the caller closed the connection';
    return [
      ...cancelRunningAttempt(state, forward, reason),
      ...endForward(state, forward, 'cancelled', reason),
    ];
  },
  forwardStarted: (state, { id, attempt }, now) => {
    const forward = state.forwards.inFlight.get(id);
    if (forward?.attempt?.id !== attempt) return [];
    return startForwardResponse(state, forward, forward.attempt, now);
  },
  forwardEnded: (state, { id, attempt, outcome }, now) => {
    const forward = state.forwards.inFlight.get(id);
    if (forward?.attempt?.id !== attempt) return [];
    return endForwardAttempt(state, forward, forward.attempt, outcome, now);
  },
  endpointChecked: (state, check, now) => handleEndpointCheck(state, check, now),
};

export const forwardMessages: MessageHandlers<
  'placeGiven' | 'placeQueued' | 'placeRefused' | 'streamLookupAnswer'
> = {
  streamLookupAnswer: (state, answer, from, now) => handleLookupAnswer(state, answer, from, now),
  placeGiven: (state, grant, from, now) => acceptReservation(state, grant, from, now),
  placeQueued: (state, { request, ask }) => {
    const forward = state.forwards.inFlight.get(request);
    if (forward?.reservationRequestNumber === ask && forward.pendingReservation !== undefined)
      forward.pendingReservation.isQueued = true;
    return [];
  },
  placeRefused: (state, { request, ask, engine, reason, limit }, _from, now) => {
    const forward = state.forwards.inFlight.get(request);
    if (forward?.phase !== 'awaitingOwner' || forward.reservationRequestNumber !== ask) return [];
    if (limit !== undefined) {
      forward.pendingReservation = undefined;
      recordPermitRefusal(state, forward, engine, limit, now);
      return placeForward(state, forward, now);
    }
    // When only the owner changed, the engine can still run the request.
    if (reason !== 'notOwner') forward.excluded.add(engine);
    return scheduleRetry(state, forward, `the owner refused the reservation: ${reason}`, now);
  },
};

export const forwardTimers: TimerHandlers<(ForwardTimer | StreamLookupTimer)['type']> = {
  forwardDeadline: (state, { id }) => {
    const forward = state.forwards.inFlight.get(id);
    if (forward === undefined) return [];
    const mayHaveRun =
      forward.mayHaveRun || forward.attempt !== undefined || forward.ranOn.size > 0;
    const waitedFor = forward.lastReason === '' ? forward.phase : forward.lastReason;
    const failure = mayHaveRun
      ? Failure.create(
          'deadline_exceeded',
          `no complete response arrived before the deadline: ${waitedFor}`,
        )
      : Failure.create('overloaded', `no endpoint had capacity before the deadline: ${waitedFor}`);
    return failForward(state, forward, failure);
  },
  placementTimeout: (state, { id }) => {
    const forward = state.forwards.inFlight.get(id);
    if (forward === undefined || forward.sends > 0 || forward.attempt !== undefined) return [];
    return abandonForward(
      state,
      forward,
      `no endpoint had capacity within the placement timeout: ${forward.lastReason || forward.phase}`,
    );
  },
  forwardRetry: (state, { id }, now) => {
    const forward = state.forwards.inFlight.get(id);
    return forward?.phase === 'backoff' ? placeForward(state, forward, now) : [];
  },
  streamLookupTimeout: (state, { request }, now) => endLookup(state, request, now),
  verifyCrash: (state, timer, now) => verifyCrash(state, timer, now),
  stopDeadline: (state) => endForwardsAtStop(state),
  endQuarantinedForwards: (state, _timer, now) => endQuarantinedForwards(state, now),
  reservationTimeout: (state, { id, reservationRequestNumber }, now) => {
    const forward = state.forwards.inFlight.get(id);
    if (
      forward?.phase !== 'awaitingOwner' ||
      forward.reservationRequestNumber !== reservationRequestNumber
    )
      return [];
    if (forward.pendingReservation === undefined || forward.pendingReservation.isQueued) return [];
    const { engine } = forward.pendingReservation;
    const released = releaseForwardReservation(state, forward);
    forward.excluded.add(engine);
    forward.lastReason = 'the owner of the engine did not answer the reservation request in time';
    return [
      newCount('fireflywick_decisions_total', { decision: 'moved', reason: 'ownerSilent' }),
      ...released,
      ...placeForward(state, forward, now),
    ];
  },
};
