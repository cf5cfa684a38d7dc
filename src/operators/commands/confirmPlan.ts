import { acceptRevisions } from '../../configuration/acceptRevisions.ts';
import { HEAD_KEY, REVISION_PREFIX } from '../../configuration/constants.ts';
import { HeadRow } from '../../configuration/handlers.ts';
import { getAuditKey, getPlanKey, getRevisionKey } from '../../configuration/keys.ts';
import { readMissingRevisions } from '../../configuration/polling.ts';
import { Revision } from '../../configuration/types.ts';
import { describeRevisions } from '../../configuration/describeRevisions.ts';
import type { Effect } from '../../core/effects.ts';
import type { TableAnswerHandlers, TimerHandlers } from '../../core/handlers.ts';
import { newLog, newObserve } from '../../core/observations.ts';
import type { State } from '../../core/state.ts';
import type { Condition, TableCall } from '../../core/store.ts';
import { schedule } from '../../core/timers.ts';
import { Failure } from '../../errors/failure.ts';
import { answerWithResult, answerWithFailure, type CommandHandler } from '../answer.ts';
import { STALE_PLAN_SCAN_LIMIT, CONFIRM_TIMEOUT_MS, CONFIRM_RETRY_MS } from '../constants.ts';
import type { OperatorRequest, AuditEntry, ConfirmProgress, OperatorPurpose } from '../types.ts';
import { parsePlan, answerUnreadablePlan } from './showPlan.ts';

type ConfirmStep = Extract<OperatorPurpose['type'], `confirm${string}`>;

/** Applies a plan as the next revision. Idempotent: confirming it again gives the same answer. */
export const confirmPlan: CommandHandler<'confirmPlan'> = (_state, request, { plan }) => [
  newConfirmCall('confirmReadPlan', request, { type: 'get', key: getPlanKey(plan) }),
];

/** Handlers of the answers to the calls of a confirm. */
export const confirmPlanAnswers: TableAnswerHandlers<ConfirmStep> = {
  confirmReadPlan: (state, { requestId }, answer) => {
    const request = state.operators.pendingRequests.get(requestId);
    if (request === undefined) return [];
    const plan = parsePlan(answer);
    if (plan === undefined) return answerUnreadablePlan(state, request, answer);
    if (plan.changes.length === 0) {
      const message = `plan "${plan.id}" contains no changes`;
      return answerWithFailure(state, request, Failure.create('invalid_intent', message));
    }
    request.confirmProgress = { plan, mayBeWritten: false };
    return [newHeadRead(request)];
  },
  confirmReadHead: (state, { requestId }, answer, { now }) => {
    const { request, progress } = getPendingConfirm(state, requestId);
    if (request === undefined || progress === undefined) return [];
    if (answer.type !== 'ok' && answer.type !== 'missing') return retryOrFail(state, request, now);
    const row = answer.type === 'ok' ? answer.rows[0] : undefined;
    const head = row === undefined ? { revision: 0 } : HeadRow.safeParse(row.value).data;
    if (head?.revision !== progress.plan.baseRevision) return [newRevisionRead(request, progress)];
    const condition: Condition =
      row === undefined ? { type: 'absent' } : { type: 'version', version: row.version };
    return [newConfirmCall('confirmWrite', request, newTransaction(request, progress, condition))];
  },
  confirmWrite: (state, { requestId }, answer, { now }) => {
    const { request, progress } = getPendingConfirm(state, requestId);
    if (request === undefined || progress === undefined) return [];
    if (answer.type === 'ok')
      return completeConfirm(state, request, newRevision(request, progress), now);
    if (answer.type === 'conflict') return [newRevisionRead(request, progress)];
    // A write without an answer may take effect late. Its retry has the same conditions, so that at
    // most one of the two takes effect.
    if (answer.type === 'unknown') progress.mayBeWritten = true;
    return retryOrFail(state, request, now);
  },
  confirmReadRevision: (state, { requestId }, answer, { now }) => {
    const { request, progress } = getPendingConfirm(state, requestId);
    if (request === undefined || progress === undefined) return [];
    if (answer.type !== 'ok') return retryOrFail(state, request, now);
    const revision = Revision.safeParse(answer.rows[0]?.value).data;
    if (revision === undefined) return retryOrFail(state, request, now);
    // Only one revision can follow the base revision, and its row has the id of the plan applied.
    if (revision.plan === progress.plan.id) return completeConfirm(state, request, revision, now);
    return [
      newConfirmCall('confirmReadSince', request, {
        type: 'scan',
        prefix: REVISION_PREFIX,
        after: getRevisionKey(progress.plan.baseRevision),
        limit: STALE_PLAN_SCAN_LIMIT,
      }),
    ];
  },
  confirmReadSince: (state, { requestId }, answer) => {
    const { request, progress } = getPendingConfirm(state, requestId);
    if (request === undefined || progress === undefined) return [];
    const { plan } = progress;
    const rows = answer.type === 'ok' ? answer.rows : [];
    const revisions = rows.flatMap(({ value }) => Revision.safeParse(value).data ?? []);
    const message = `plan "${plan.id}" was made for revision ${plan.baseRevision}, which is no longer current; submit the intent again`;
    const details = describeRevisions(revisions);
    return answerWithFailure(state, request, Failure.create('stale_plan', message), details);
  },
};

/** Handlers of `OperatorTimer`. */
export const confirmTimers: TimerHandlers<'retryConfirm'> = {
  retryConfirm: (state, { requestId }) => {
    const request = state.operators.pendingRequests.get(requestId);
    return request === undefined ? [] : [newHeadRead(request)];
  },
};

function newConfirmCall(type: ConfirmStep, request: OperatorRequest, call: TableCall): Effect {
  return { type: 'callTable', call, purpose: { type, requestId: request.id } };
}

function newHeadRead(request: OperatorRequest): Effect {
  return newConfirmCall('confirmReadHead', request, { type: 'get', key: HEAD_KEY });
}

function newRevisionRead(request: OperatorRequest, { plan }: ConfirmProgress): Effect {
  const key = getRevisionKey(plan.baseRevision + 1);
  return newConfirmCall('confirmReadRevision', request, { type: 'get', key });
}

function newRevision(request: OperatorRequest, { plan }: ConfirmProgress): Revision {
  return {
    revision: plan.baseRevision + 1,
    changes: plan.changes,
    operator: request.operator,
    confirmedAtUnixMs: request.atUnixMs,
    plan: plan.id,
  };
}

function newTransaction(
  request: OperatorRequest,
  progress: ConfirmProgress,
  head: Condition,
): TableCall {
  const revision = newRevision(request, progress);
  const audit: AuditEntry = {
    action: 'confirm',
    operator: request.operator,
    atUnixMs: request.atUnixMs,
    revision: revision.revision,
    plan: progress.plan.id,
    lines: progress.plan.lines,
  };
  const absent: Condition = { type: 'absent' };
  return {
    type: 'write',
    writes: [
      { type: 'put', key: HEAD_KEY, value: { revision: revision.revision }, condition: head },
      {
        type: 'put',
        key: getRevisionKey(revision.revision),
        value: revision,
        condition: absent,
      },
      { type: 'put', key: getAuditKey(revision.revision), value: audit, condition: absent },
    ],
  };
}

function completeConfirm(
  state: State,
  request: OperatorRequest,
  revision: Revision,
  now: number,
): Effect[] {
  const { configurationSync } = state;
  configurationSync.headRevision = Math.max(configurationSync.headRevision ?? 0, revision.revision);
  return [
    newLog('info', 'plan confirmed', {
      plan: revision.plan,
      operator: request.operator,
      revision: revision.revision,
    }),
    newObserve('fireflywick_configuration_lag_ms', {}, now - request.receivedAt),
    ...acceptRevisions(state, [revision], { type: 'confirmed' }, now),
    // Reads revisions of other hosts that must be applied before the confirmed one.
    ...readMissingRevisions(state, now),
    ...answerWithResult(state, request, { plan: revision.plan, revision: revision.revision }),
  ];
}

function retryOrFail(state: State, request: OperatorRequest, now: number): Effect[] {
  if (now - request.receivedAt < CONFIRM_TIMEOUT_MS) {
    schedule(state, now + CONFIRM_RETRY_MS, { type: 'retryConfirm', requestId: request.id });
    return [];
  }
  const failure = request.confirmProgress?.mayBeWritten
    ? Failure.create(
        'outcome_unknown',
        'the table service did not answer the write of the plan, which may be in force; confirm it again to get the outcome',
      )
    : Failure.create(
        'store_unavailable',
        `the plan was not confirmed within ${CONFIRM_TIMEOUT_MS / 1_000} s; confirm it again later`,
      );
  return answerWithFailure(state, request, failure);
}

function getPendingConfirm(state: State, requestId: string) {
  const request = state.operators.pendingRequests.get(requestId);
  return { request, progress: request?.confirmProgress };
}
