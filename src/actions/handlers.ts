import type { Effect } from '../core/effects.ts';
import type {
  EventHandlers,
  ObjectAnswerHandlers,
  TableAnswerHandlers,
  TimerHandlers,
} from '../core/handlers.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import { failAction } from './answering.ts';
import { admitAction } from './arrival.ts';
import { continueClaim, continueRead, continueReplay } from './claiming.ts';
import { pollHour, startSweep, sweepOpenPage, sweepPage, sweepRow, takeHour } from './retention.ts';
import { continueCall } from './sending.ts';
import {
  answerCaller,
  continueSettlement,
  continueSettlementRead,
  continueStored,
  writeSettlement,
} from './settling.ts';
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
  serviceAnswered: (state, { id, answer }, now) =>
    withAction(state, id, 'sending', (action) => continueCall(state, action, answer, now)),
};

export const actionTimers: TimerHandlers<ActionTimer['type']> = {
  actionDeadline: (state, { id }) => {
    const action = state.actions.inFlight.get(id);
    if (action === undefined) return [];
    const answered = answerCaller(state, action);
    // The row or the call in progress may still show that the call ran.
    const mayHaveRun = action.phase === 'sending' || action.mayHaveRun || action.hasRival;
    const failure = Failure.create(
      'deadline_exceeded',
      `call ${id} was not answered by its deadline`,
      { outcome: mayHaveRun ? 'unknown' : 'not_run' },
    );
    return [...answered, ...failAction(state, action, failure)];
  },
  actionAnswerDue: (state, { id }) =>
    withAction(state, id, 'settling', (action) => answerCaller(state, action)),
  settleAction: (state, { id }, now) =>
    withAction(state, id, 'settling', (action) => writeSettlement(state, action, now)),
  pollRetention: (state, _timer, now) => pollHour(state, now),
  sweepActions: (state, _timer, now) => startSweep(state, now),
};

export const actionTableHandlers: TableAnswerHandlers<ActionTablePurpose['type']> = {
  claimAction: (state, { id }, answer, { now }) =>
    withAction(state, id, 'claiming', (action) => continueClaim(state, action, answer, now)),
  readClaim: (state, { id }, answer, { now }) =>
    withAction(state, id, 'reading', (action) => continueRead(state, action, answer, now)),
  settleAction: (state, { id }, answer, { now }) =>
    withAction(state, id, 'settling', (action) => continueSettlement(state, action, answer, now)),
  readSettlement: (state, { id }, answer, { now }) =>
    withAction(state, id, 'settling', (action) =>
      continueSettlementRead(state, action, answer, now),
    ),
  readHour: (state, _purpose, answer, times) => takeHour(state, answer, times),
  raiseHour: () => [],
  scanEndedActions: (state, _purpose, answer) => sweepPage(state, answer),
  scanOpenActions: (state, _purpose, answer) => sweepOpenPage(state, answer),
  readSwept: (state, purpose, answer, { now }) => sweepRow(state, purpose, answer, now),
  writeSwept: () => [],
};

export const actionObjectHandlers: ObjectAnswerHandlers<ActionObjectPurpose['type']> = {
  storeAnswer: (state, { id }, answer, now) =>
    withAction(state, id, 'settling', (action) => continueStored(state, action, answer, now)),
  readAnswer: (state, { id, row }, answer) =>
    withAction(state, id, 'replaying', (action) => continueReplay(state, action, row, answer)),
};

/** Runs `next` when the action is still in the phase that the answer or timer belongs to. */
function withAction(
  state: State,
  id: string,
  phase: ActionPhase,
  next: (action: Action) => Effect[],
): Effect[] {
  const action = state.actions.inFlight.get(id);
  return action?.phase === phase ? next(action) : [];
}
