import type { Effect } from '../core/effects.ts';
import type {
  EventHandlers,
  ObjectAnswerHandlers,
  TableAnswerHandlers,
  TimerHandlers,
} from '../core/handlers.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import { cancelAction, failAction } from './actionEnd.ts';
import { admitAction } from './actionAdmission.ts';
import { handleClaimWriteAnswer, handleClaimReadAnswer, replayStoredResponse } from './claims.ts';
import {
  pollRetentionHour,
  startRetentionSweep,
  sweepOpenClaims,
  sweepIndexPage,
  handleSweptRowAnswer,
  updateRetentionHour,
} from './retention.ts';
import { handleServiceCallEnd } from './serviceCalls.ts';
import {
  answerFromSettlement,
  handleSettlementWriteAnswer,
  handleSettlementReadAnswer,
  handleResponseWriteAnswer,
  writeSettlement,
} from './settlement.ts';
import type {
  Action,
  ActionEvent,
  ActionObjectPurpose,
  ActionPhase,
  ActionTablePurpose,
  ActionTimer,
} from './types.ts';

export const actionEvents: EventHandlers<ActionEvent['type']> = {
  actionArrived: (state, { action }, now) => admitAction(state, action, now),
  serviceCallEnded: (state, { id, answer }, now) =>
    withAction(state, id, 'sending', (action) => handleServiceCallEnd(state, action, answer, now)),
  actionCancelled: (state, { id }) =>
    withAction(state, id, 'sending', (action) => cancelAction(state, action)),
};

export const actionTimers: TimerHandlers<ActionTimer['type']> = {
  actionDeadline: (state, { id }) => {
    const action = state.actions.inFlight.get(id);
    if (action === undefined) return [];
    const answered = answerFromSettlement(state, action);
    // The call in flight may still run, and the row may show that an earlier call ran.
    const mayHaveRun = action.phase === 'sending' || action.mayHaveRun || action.hasCompetingClaim;
    const failure = Failure.create(
      'deadline_exceeded',
      `call ${id} was not answered by its deadline`,
      { outcome: mayHaveRun ? 'unknown' : 'not_run' },
    );
    return [...answered, ...failAction(state, action, failure)];
  },
  actionRecordTimeout: (state, { id }) =>
    withAction(state, id, 'settling', (action) => answerFromSettlement(state, action)),
  settleAction: (state, { id }, now) =>
    withAction(state, id, 'settling', (action) => writeSettlement(state, action, now)),
  pollRetentionHour: (state, _timer, now) => pollRetentionHour(state, now),
  sweepActions: (state, _timer, now) => startRetentionSweep(state, now),
};

export const actionTableHandlers: TableAnswerHandlers<ActionTablePurpose['type']> = {
  claimAction: (state, { id }, answer, { now }) =>
    withAction(state, id, 'claiming', (action) =>
      handleClaimWriteAnswer(state, action, answer, now),
    ),
  readClaim: (state, { id }, answer, { now }) =>
    withAction(state, id, 'reading', (action) => handleClaimReadAnswer(state, action, answer, now)),
  settleAction: (state, { id }, answer, { now }) =>
    withAction(state, id, 'settling', (action) =>
      handleSettlementWriteAnswer(state, action, answer, now),
    ),
  readSettlement: (state, { id }, answer, { now }) =>
    withAction(state, id, 'settling', (action) =>
      handleSettlementReadAnswer(state, action, answer, now),
    ),
  readHour: (state, _purpose, answer, times) => updateRetentionHour(state, answer, times),
  raiseHour: () => [],
  scanEndedActions: (state, _purpose, answer) => sweepIndexPage(state, answer),
  scanOpenActions: (state, _purpose, answer) => sweepOpenClaims(state, answer),
  readSwept: (state, purpose, answer, { now }) => handleSweptRowAnswer(state, purpose, answer, now),
  writeSwept: () => [],
};

export const actionObjectHandlers: ObjectAnswerHandlers<ActionObjectPurpose['type']> = {
  storeAnswer: (state, { id }, answer, now) =>
    withAction(state, id, 'settling', (action) =>
      handleResponseWriteAnswer(state, action, answer, now),
    ),
  readAnswer: (state, { id, row }, answer) =>
    withAction(state, id, 'replaying', (action) =>
      replayStoredResponse(state, action, row, answer),
    ),
};

/** Runs `next` if the action is still in the phase that the answer or timer belongs to. */
function withAction(
  state: State,
  id: string,
  phase: ActionPhase,
  next: (action: Action) => Effect[],
): Effect[] {
  const action = state.actions.inFlight.get(id);
  return action?.phase === phase ? next(action) : [];
}
