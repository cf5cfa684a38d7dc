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

/** Makes a plan the next revision. Confirming a plan again gives the same answer. */
export const confirmPlan: CommandHandler<'confirmPlan'> = (_state, ask, { plan }) => [
  newStep('confirmReadPlan', ask, { type: 'get', key: getPlanKey(plan) }),
];

export const confirmPlanAnswers: TableAnswerHandlers<ConfirmStep> = {
  confirmReadPlan: (state, { requestId: id }, answer) => {
    const ask = state.operators.pendingRequests.get(id);
    if (ask === undefined) return [];
    const plan = parsePlan(answer);
    if (plan === undefined) return answerUnreadablePlan(state, ask, answer);
    if (plan.changes.length === 0) {
      const message = `plan "${plan.id}" changes nothing`;
      return answerWithFailure(state, ask, Failure.create('invalid_intent', message));
    }
    ask.confirm = { plan, mayBeWritten: false };
    return [newHeadRead(ask)];
  },
  confirmReadHead: (state, { requestId: id }, answer, { now }) => {
    const { ask, progress } = getProgress(state, id);
    if (ask === undefined || progress === undefined) return [];
    if (answer.type !== 'ok' && answer.type !== 'missing') return retryLater(state, ask, now);
    const row = answer.type === 'ok' ? answer.rows[0] : undefined;
    const head = row === undefined ? { revision: 0 } : HeadRow.safeParse(row.value).data;
    if (head?.revision !== progress.plan.baseRevision) return [newRevisionRead(ask, progress)];
    const condition: Condition =
      row === undefined ? { type: 'absent' } : { type: 'version', version: row.version };
    return [newStep('confirmWrite', ask, newTransaction(ask, progress, condition))];
  },
  confirmWrite: (state, { requestId: id }, answer, { now }) => {
    const { ask, progress } = getProgress(state, id);
    if (ask === undefined || progress === undefined) return [];
    if (answer.type === 'ok') return succeed(state, ask, newRevision(ask, progress), now);
    if (answer.type === 'conflict') return [newRevisionRead(ask, progress)];
    // A write without an answer may take effect late. It is repeated with the same conditions, so
    // that at most one of the two takes effect.
    if (answer.type === 'unknown') progress.mayBeWritten = true;
    return retryLater(state, ask, now);
  },
  confirmReadRevision: (state, { requestId: id }, answer, { now }) => {
    const { ask, progress } = getProgress(state, id);
    if (ask === undefined || progress === undefined) return [];
    if (answer.type !== 'ok') return retryLater(state, ask, now);
    const revision = Revision.safeParse(answer.rows[0]?.value).data;
    if (revision === undefined) return retryLater(state, ask, now);
    // Only one revision can follow the plan's base, and its row names the plan that made it.
    if (revision.plan === progress.plan.id) return succeed(state, ask, revision, now);
    return [
      newStep('confirmReadSince', ask, {
        type: 'scan',
        prefix: REVISION_PREFIX,
        after: getRevisionKey(progress.plan.baseRevision),
        limit: STALE_PLAN_SCAN_LIMIT,
      }),
    ];
  },
  confirmReadSince: (state, { requestId: id }, answer) => {
    const { ask, progress } = getProgress(state, id);
    if (ask === undefined || progress === undefined) return [];
    const { plan } = progress;
    const rows = answer.type === 'ok' ? answer.rows : [];
    const revisions = rows.flatMap(({ value }) => Revision.safeParse(value).data ?? []);
    const message = `plan "${plan.id}" was made for revision ${plan.baseRevision}, which is no longer current; submit the intent again`;
    const details = describeRevisions(revisions);
    return answerWithFailure(state, ask, Failure.create('stale_plan', message), details);
  },
};

export const confirmTimers: TimerHandlers<'retryConfirm'> = {
  retryConfirm: (state, { requestId: id }) => {
    const ask = state.operators.pendingRequests.get(id);
    return ask === undefined ? [] : [newHeadRead(ask)];
  },
};

function newStep(type: ConfirmStep, ask: OperatorRequest, call: TableCall): Effect {
  return { type: 'callTable', call, purpose: { type, requestId: ask.id } };
}

function newHeadRead(ask: OperatorRequest): Effect {
  return newStep('confirmReadHead', ask, { type: 'get', key: HEAD_KEY });
}

function newRevisionRead(ask: OperatorRequest, { plan }: ConfirmProgress): Effect {
  const key = getRevisionKey(plan.baseRevision + 1);
  return newStep('confirmReadRevision', ask, { type: 'get', key });
}

function newRevision(ask: OperatorRequest, { plan }: ConfirmProgress): Revision {
  return {
    revision: plan.baseRevision + 1,
    changes: plan.changes,
    operator: ask.operator,
    confirmedAtUnixMs: ask.atUnixMs,
    plan: plan.id,
  };
}

function newTransaction(
  ask: OperatorRequest,
  progress: ConfirmProgress,
  head: Condition,
): TableCall {
  const revision = newRevision(ask, progress);
  const audit: AuditEntry = {
    action: 'confirm',
    operator: ask.operator,
    atUnixMs: ask.atUnixMs,
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

function succeed(state: State, ask: OperatorRequest, revision: Revision, now: number): Effect[] {
  const { configurationSync: sync } = state;
  sync.headRevision = Math.max(sync.headRevision ?? 0, revision.revision);
  return [
    newLog('info', 'plan is confirmed', {
      plan: revision.plan,
      operator: ask.operator,
      revision: revision.revision,
    }),
    newObserve('fireflywick_configuration_lag_ms', {}, now - ask.receivedAt),
    ...acceptRevisions(state, [revision], { type: 'confirmed' }, now),
    // Revisions of other hosts that this host has not read yet come first.
    ...readMissingRevisions(state, now),
    ...answerWithResult(state, ask, { plan: revision.plan, revision: revision.revision }),
  ];
}

function retryLater(state: State, ask: OperatorRequest, now: number): Effect[] {
  if (now - ask.receivedAt < CONFIRM_TIMEOUT_MS) {
    schedule(state, now + CONFIRM_RETRY_MS, { type: 'retryConfirm', requestId: ask.id });
    return [];
  }
  const failure = ask.confirm?.mayBeWritten
    ? Failure.create(
        'outcome_unknown',
        'the answer of the table service was lost, and the plan may be in force; confirm it again to learn which',
      )
    : Failure.create('store_unavailable', 'the plan is not confirmed; confirm it again later');
  return answerWithFailure(state, ask, failure);
}

function getProgress(state: State, id: string) {
  const ask = state.operators.pendingRequests.get(id);
  return { ask, progress: ask?.confirm };
}
