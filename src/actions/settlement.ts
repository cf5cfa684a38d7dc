import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { ObjectAnswer, TableAnswer } from '../core/store.ts';
import { schedule } from '../core/timers.ts';
import { completeAction, removeAction } from './actionEnd.ts';
import {
  MAX_INLINE_BYTES,
  RECORD_RETRY_BASE_MS,
  RECORD_RETRY_MAX_MS,
  RECORD_TIMEOUT_MS,
} from './constants.ts';
import { getFreshRetentionHour, newClaimRow, newActionWrites } from './actionRows.ts';
import { type Action, ActionRow, type ServiceResponse, type Settlement } from './types.ts';

/** Starts to record how a claim ended; repeated until it is recorded. */
export function settleClaim(
  state: State,
  action: Action,
  ending: { state: Settlement['state']; answer?: ServiceResponse },
  now: number,
): Effect[] {
  action.phase = 'settling';
  const answer = ending.answer && getPlainAnswer(ending.answer);
  action.settlement = { state: ending.state, answer, isBodyStored: false, tries: 0 };
  if (answer !== undefined) {
    schedule(state, now + RECORD_TIMEOUT_MS, { type: 'actionRecordTimeout', id: action.id });
  }
  return writeSettlement(state, action, now);
}

/** Writes the body of a large answer to the object store, and the row otherwise. */
export function writeSettlement(state: State, action: Action, now: number): Effect[] {
  const { settlement } = action;
  if (settlement === undefined) return [];
  if (isLarge(settlement.answer) && !settlement.isBodyStored) {
    return [
      {
        type: 'callObjects',
        call: { type: 'put', key: getAnswerKey(action), body: settlement.answer?.body ?? '' },
        purpose: { type: 'storeAnswer', id: action.id },
      },
    ];
  }
  const row = newSettledRow(state, action, settlement, now);
  return [
    {
      type: 'callTable',
      call: { type: 'write', writes: newActionWrites(action.rowKey, row, action.rowVersion) },
      purpose: { type: 'settleAction', id: action.id },
    },
  ];
}

/** Continues after the body of a large answer was written. */
export function handleResponseWriteAnswer(
  state: State,
  action: Action,
  answer: ObjectAnswer,
  now: number,
): Effect[] {
  if (action.settlement === undefined) return [];
  if (answer.type !== 'ok') return settleLater(state, action, now);
  action.settlement.isBodyStored = true;
  return writeSettlement(state, action, now);
}

/** Continues after the row was written. */
export function handleSettlementWriteAnswer(
  state: State,
  action: Action,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type === 'ok') return endSettlement(state, action);
  if (answer.type === 'unavailable') return settleLater(state, action, now);
  return [
    ...answerFromSettlement(state, action),
    {
      type: 'callTable',
      call: { type: 'get', key: action.rowKey },
      purpose: { type: 'readSettlement', id: action.id },
    },
  ];
}

/** Continues after the row was read, because its write was refused or its answer was lost. */
export function handleSettlementReadAnswer(
  state: State,
  action: Action,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type === 'missing') {
    action.rowVersion = undefined;
    return settleLater(state, action, now);
  }
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  const row = ActionRow.safeParse(stored?.value);
  if (stored === undefined || !row.success) return settleLater(state, action, now);
  if (row.data.token !== action.claimToken && !isOpenToLateClaim(row.data, action)) {
    return endForeign(state, action);
  }
  const isOwn = row.data.token === action.claimToken;
  if (isOwn && row.data.state === action.settlement?.state) return endSettlement(state, action);
  action.rowVersion = stored.version;
  return settleLater(state, action, now);
}

/** Answers the caller with the answer of the service, recorded or not. */
export function answerFromSettlement(state: State, action: Action): Effect[] {
  const answer = action.settlement?.answer;
  return answer === undefined ? [] : completeAction(state, action, answer);
}

function endSettlement(state: State, action: Action): Effect[] {
  removeAction(state, action);
  return answerFromSettlement(state, action);
}

/** Whether a claim of this action that is still on its way could take effect over `row`. */
function isOpenToLateClaim(row: ActionRow, action: Action): boolean {
  return row.state === 'released' && action.settlement?.state === 'released';
}

function endForeign(state: State, action: Action): Effect[] {
  const effects = endSettlement(state, action);
  // Expected after a lost claim that never took effect; a fault after a call that was sent.
  if (!action.mayHaveRun) return effects;
  return [...effects, newLog('error', 'row of an action has a foreign token', { id: action.id })];
}

function settleLater(state: State, action: Action, now: number): Effect[] {
  const { settlement } = action;
  if (settlement === undefined) return [];
  const limit = Math.min(RECORD_RETRY_MAX_MS, RECORD_RETRY_BASE_MS * 2 ** settlement.tries);
  settlement.tries += 1;
  schedule(state, now + limit * (0.5 + state.random.getFraction() / 2), {
    type: 'settleAction',
    id: action.id,
  });
  return answerFromSettlement(state, action);
}

function newSettledRow(
  state: State,
  action: Action,
  { state: ended, answer }: Settlement,
  now: number,
): ActionRow {
  const row: ActionRow = { ...newClaimRow(state, action), state: ended };
  const endedHour = getFreshRetentionHour(state, now);
  if (endedHour !== undefined) row.endedHour = endedHour;
  if (answer !== undefined) {
    const { status, headers, body } = answer;
    row.answer = isLarge(answer)
      ? { status, headers, object: getAnswerKey(action) }
      : { status, headers, body };
  }
  return row;
}

function isLarge(answer: ServiceResponse | undefined): boolean {
  return answer !== undefined && Buffer.byteLength(answer.body) > MAX_INLINE_BYTES;
}

function getAnswerKey({ claimToken: token }: Action): string {
  return `action-answer/${token}`;
}

function getPlainAnswer({ status, headers, body }: ServiceResponse): ServiceResponse {
  return { status, headers, body };
}
