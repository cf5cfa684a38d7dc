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

/** Starts recording how a claim ended; retried until the table holds it. */
export function settleClaim(
  state: State,
  action: Action,
  ending: { state: Settlement['state']; answer?: ServiceResponse },
  now: number,
): Effect[] {
  action.phase = 'settling';
  const answer = ending.answer && getResponseFields(ending.answer);
  action.settlement = { state: ending.state, answer, isBodyStored: false, tries: 0 };
  if (answer !== undefined) {
    schedule(state, now + RECORD_TIMEOUT_MS, { type: 'actionRecordTimeout', id: action.id });
  }
  return writeSettlement(state, action, now);
}

/** Writes a large response body to the object store if that is pending, and the row otherwise. */
export function writeSettlement(state: State, action: Action, now: number): Effect[] {
  const { settlement } = action;
  if (settlement === undefined) return [];
  if (isLargeResponse(settlement.answer) && !settlement.isBodyStored) {
    return [
      {
        type: 'callObjects',
        call: {
          type: 'put',
          key: getResponseObjectKey(action),
          body: settlement.answer?.body ?? '',
        },
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

/** Writes the row after a large response body was written to the object store. */
export function handleResponseWriteAnswer(
  state: State,
  action: Action,
  answer: ObjectAnswer,
  now: number,
): Effect[] {
  if (action.settlement === undefined) return [];
  if (answer.type !== 'ok') return scheduleSettlementRetry(state, action, now);
  action.settlement.isBodyStored = true;
  return writeSettlement(state, action, now);
}

/** Ends a settlement whose row was written; reads the row if the outcome is unclear. */
export function handleSettlementWriteAnswer(
  state: State,
  action: Action,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type === 'ok') return endSettlement(state, action);
  if (answer.type === 'unavailable') return scheduleSettlementRetry(state, action, now);
  return [
    ...answerFromSettlement(state, action),
    {
      type: 'callTable',
      call: { type: 'get', key: action.rowKey },
      purpose: { type: 'readSettlement', id: action.id },
    },
  ];
}

/** Ends or retries a settlement, depending on the row after an unconfirmed write. */
export function handleSettlementReadAnswer(
  state: State,
  action: Action,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type === 'missing') {
    action.rowVersion = undefined;
    return scheduleSettlementRetry(state, action, now);
  }
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  const row = ActionRow.safeParse(stored?.value);
  if (stored === undefined || !row.success) return scheduleSettlementRetry(state, action, now);
  if (row.data.token !== action.claimToken && !mayLateClaimApply(row.data, action)) {
    return endWithForeignRow(state, action);
  }
  const isOwn = row.data.token === action.claimToken;
  if (isOwn && row.data.state === action.settlement?.state) return endSettlement(state, action);
  action.rowVersion = stored.version;
  return scheduleSettlementRetry(state, action, now);
}

/** Answers the caller with the response of the service, whether it is recorded or not. */
export function answerFromSettlement(state: State, action: Action): Effect[] {
  const answer = action.settlement?.answer;
  return answer === undefined ? [] : completeAction(state, action, answer);
}

function endSettlement(state: State, action: Action): Effect[] {
  removeAction(state, action);
  return answerFromSettlement(state, action);
}

/** Whether a delayed claim write of this action may still replace `row`. */
function mayLateClaimApply(row: ActionRow, action: Action): boolean {
  return row.state === 'released' && action.settlement?.state === 'released';
}

function endWithForeignRow(state: State, action: Action): Effect[] {
  const effects = endSettlement(state, action);
  // Expected if the claim was lost and never took effect; a fault if the call was sent.
  if (!action.mayHaveRun) return effects;
  return [
    ...effects,
    newLog('error', 'the row of an action holds the claim of another call', { id: action.id }),
  ];
}

function scheduleSettlementRetry(state: State, action: Action, now: number): Effect[] {
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
    row.answer = isLargeResponse(answer)
      ? { status, headers, object: getResponseObjectKey(action) }
      : { status, headers, body };
  }
  return row;
}

function isLargeResponse(answer: ServiceResponse | undefined): boolean {
  return answer !== undefined && Buffer.byteLength(answer.body) > MAX_INLINE_BYTES;
}

function getResponseObjectKey({ claimToken }: Action): string {
  return `action-answer/${claimToken}`;
}

function getResponseFields({ status, headers, body }: ServiceResponse): ServiceResponse {
  return { status, headers, body };
}
