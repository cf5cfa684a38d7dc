import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { getFailureReason, type ObjectAnswer, type TableAnswer } from '../core/store.ts';
import { Failure } from '../errors/failure.ts';
import { failAction, completeAction, removeAction } from './actionEnd.ts';
import { MAX_CLAIM_ATTEMPTS } from './constants.ts';
import { isClaimHolderGone, newClaimRow, newActionWrites } from './actionRows.ts';
import { sendServiceCall } from './serviceCalls.ts';
import { settleClaim } from './settlement.ts';
import { type Action, ActionRow } from './types.ts';

/** Claims the idempotency key with a write that fails if another claim is in force. */
export function writeClaim(state: State, action: Action): Effect[] {
  action.phase = 'claiming';
  action.claimAttempts += 1;
  const writes = newActionWrites(action.rowKey, newClaimRow(state, action), action.rowVersion);
  return [
    {
      type: 'callTable',
      call: { type: 'write', writes },
      purpose: { type: 'claimAction', id: action.id },
    },
  ];
}

/** Sends the call once its claim is in force; reads the row after a conflict or a lost answer. */
export function handleClaimWriteAnswer(
  state: State,
  action: Action,
  answer: TableAnswer,
  now: number,
): Effect[] {
  switch (answer.type) {
    case 'ok':
      return startClaimedCall(state, action, answer.rows[0]?.version, now);
    case 'unavailable':
      return abandonClaim(state, action, now, `the table service is unavailable: ${answer.reason}`);
    case 'conflict':
    case 'missing':
      action.hasCompetingClaim ||= !action.mayHoldClaim;
      return readClaim(action);
    case 'unknown':
      action.mayHoldClaim = true;
      return readClaim(action);
  }
}

/** Sends, answers, retries or abandons a call, depending on the row after an unconfirmed claim. */
export function handleClaimReadAnswer(
  state: State,
  action: Action,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type === 'missing') {
    action.rowVersion = undefined;
    return retryClaim(state, action, now);
  }
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  if (stored === undefined) {
    const message = `the claim could not be read: ${getFailureReason(answer)}`;
    return abandonClaim(state, action, now, message);
  }
  const row = ActionRow.safeParse(stored.value);
  if (!row.success) {
    action.hasCompetingClaim = true;
    return abandonClaim(state, action, now, `row ${stored.key} is malformed`);
  }
  if (row.data.token === action.claimToken) {
    action.hasCompetingClaim = false;
    // The sweep of a host whose membership lacks this host may have ended the claim.
    if (row.data.state === 'claimed') return startClaimedCall(state, action, stored.version, now);
    action.rowVersion = stored.version;
    return abandonClaim(state, action, now, 'another host ended the claim in the meantime');
  }
  if (row.data.state === 'released') {
    action.hasCompetingClaim = false;
    action.rowVersion = stored.version;
    return retryClaim(state, action, now);
  }
  return answerFromCompetingClaim(state, action, row.data, now);
}

/** Answers a repeat with the recorded response whose body was read from the object store. */
export function replayStoredResponse(
  state: State,
  action: Action,
  row: ActionRow,
  answer: ObjectAnswer,
): Effect[] {
  removeAction(state, action);
  if (answer.type !== 'ok' || row.answer === undefined) {
    const message = `the call ran, but its recorded response could not be read: ${getFailureReason(answer)}`;
    const failure = Failure.create('outcome_unknown', message, { retryAfterS: 1 });
    return failAction(state, action, failure);
  }
  const { status, headers } = row.answer;
  return completeAction(state, action, { status, headers, body: answer.body }, true);
}

function readClaim(action: Action): Effect[] {
  action.phase = 'reading';
  return [
    {
      type: 'callTable',
      call: { type: 'get', key: action.rowKey },
      purpose: { type: 'readClaim', id: action.id },
    },
  ];
}

function retryClaim(state: State, action: Action, now: number): Effect[] {
  if (action.isAnswered || action.claimAttempts >= MAX_CLAIM_ATTEMPTS) {
    return abandonClaim(
      state,
      action,
      now,
      `the claim was not confirmed after ${action.claimAttempts} attempts`,
    );
  }
  return writeClaim(state, action);
}

function startClaimedCall(
  state: State,
  action: Action,
  version: string | undefined,
  now: number,
): Effect[] {
  action.rowVersion = version;
  action.mayHoldClaim = true;
  action.hasCompetingClaim = false;
  if (action.isAnswered) return settleClaim(state, action, { state: 'released' }, now);
  return sendServiceCall(state, action, now);
}

/** Fails a call that was not sent, and releases its claim if the claim may be in force. */
function abandonClaim(state: State, action: Action, now: number, reason: string): Effect[] {
  const message = `the call was not sent: ${reason}`;
  const failure = action.hasCompetingClaim
    ? Failure.create('outcome_unknown', `${message}; another call with the same key exists`, {
        retryAfterS: 1,
      })
    : Failure.create('store_unavailable', message);
  const effects = failAction(state, action, failure);
  if (action.mayHoldClaim)
    return [...effects, ...settleClaim(state, action, { state: 'released' }, now)];
  removeAction(state, action);
  return effects;
}

function answerFromCompetingClaim(
  state: State,
  action: Action,
  row: ActionRow,
  now: number,
): Effect[] {
  const { idempotencyKey = '' } = action;
  if (row.bodyHash !== action.callHash) {
    removeAction(state, action);
    const message = `key "${idempotencyKey}" was used for a different call`;
    return failAction(state, action, Failure.create('key_reused', message));
  }
  if (row.state === 'done' && row.answer?.object !== undefined) {
    action.phase = 'replaying';
    return [
      {
        type: 'callObjects',
        call: { type: 'get', key: row.answer.object },
        purpose: { type: 'readAnswer', id: action.id, row },
      },
    ];
  }
  removeAction(state, action);
  if (row.state === 'done' && row.answer !== undefined) {
    const { status, headers, body = '' } = row.answer;
    return completeAction(state, action, { status, headers, body }, true);
  }
  const isInProgress = row.state === 'claimed' && !isClaimHolderGone(state, row, now);
  const failure = isInProgress
    ? Failure.create('in_progress', `the call with key "${idempotencyKey}" is in progress`)
    : Failure.create('outcome_unknown', `the call with key "${idempotencyKey}" may have run`);
  return failAction(state, action, failure);
}
