import type { Effect } from '../core/effects.ts';
import type {
  EventHandlers,
  ObjectAnswerHandlers,
  TableAnswerHandlers,
  TimerHandlers,
} from '../core/handlers.ts';
import type { State } from '../core/state.ts';
import {
  admitDraft,
  commitBatch,
  handleBatchReadAnswer,
  handleBodyWriteAnswer,
  handleCommitAnswer,
  failUnconfirmedDraft,
  retryBatch,
} from './draftAdmission.ts';
import {
  startDraftCommand,
  executeDraftCommand,
  handleDraftChangeAnswer,
  answerDraftList,
  answerWithLargeResult,
  scanDraftList,
} from './draftCommands.ts';
import { startReadyDrafts } from './draftQueue.ts';
import {
  handleOutcomeWriteAnswer,
  handleOutcomeReadAnswer,
  handleResultWriteAnswer,
  writeDraftOutcome,
} from './draftOutcome.ts';
import {
  handleDraftBodyReadAnswer,
  handleDraftReadAnswer,
  handleDraftFailure,
  recordDraftResult,
} from './draftRuns.ts';
import {
  handleTakeoverWriteAnswer,
  rescanOwnDrafts,
  scanTakeoverPage,
  sweepDrafts,
  sweepNextHost,
  takeOverDraft,
  readTakeoverPage,
} from './draftTakeover.ts';
import { takeOverFromUnreachableHosts } from './unreachableHosts.ts';
import type {
  DraftEvent,
  DraftObjectPurpose,
  DraftPhase,
  DraftTablePurpose,
  DraftTimer,
  OwnDraft,
} from './types.ts';

export const draftEvents: EventHandlers<DraftEvent['type']> = {
  draftArrived: (state, { draft }, now) => admitDraft(state, draft, now),
  draftResultCollected: (state, { draft: id, body }, now) =>
    withDraft(state, id, 'running', (draft) => recordDraftResult(state, draft, body, now)),
  draftReadRequested: (_state, command) => startDraftCommand(command, 'read'),
  draftDeleteRequested: (_state, command) => startDraftCommand(command, 'delete'),
  draftRetryRequested: (_state, command) => startDraftCommand(command, 'retry'),
  draftListRequested: (_state, { id, state: wanted, after }) => scanDraftList(id, wanted, after),
};

export const draftTimers: TimerHandlers<DraftTimer['type']> = {
  commitDrafts: (state, { batch }) => commitBatch(state, batch),
  retryBatch: (state, { batch }) => retryBatch(state, batch),
  draftAcceptTimeout: (state, { draft }) => failUnconfirmedDraft(state, draft),
  draftRetryDue: (state, { draft: id }, now) =>
    withDraft(state, id, 'queued', () => {
      state.drafts.ready.add(id);
      return startReadyDrafts(state, now);
    }),
  recordDraft: (state, { draft: id }, now) =>
    withDraft(state, id, 'recording', (draft) => writeDraftOutcome(state, draft, now)),
  draftRequestFailed: (state, { id: request, draft: id, failure }, now) => [
    { type: 'dropDraftRequest', id: request },
    ...withDraft(state, id, 'running', (draft) =>
      draft.requestId === request ? handleDraftFailure(state, draft, failure, now) : [],
    ),
  ],
  checkDraftHosts: (state, _timer, now) => takeOverFromUnreachableHosts(state, now),
  sweepDrafts: (state, _timer, now) => sweepDrafts(state, now),
  rescanOwnDrafts: (state, _timer, now) => rescanOwnDrafts(state, now),
  scanTakeoverPage: (_state, { host, after }) => scanTakeoverPage(host, after),
  startReadyDrafts: (state, _timer, now) => startReadyDrafts(state, now),
};

export const draftTableHandlers: TableAnswerHandlers<DraftTablePurpose['type']> = {
  commitDrafts: (state, { batch }, answer, { now }) =>
    handleCommitAnswer(state, batch, answer, now),
  readBatch: (state, { batch }, answer, { now }) =>
    handleBatchReadAnswer(state, batch, answer, now),
  readDraftToRun: (state, { draft: id }, answer, { now }) =>
    withDraft(state, id, 'reading', (draft) => handleDraftReadAnswer(state, draft, answer, now)),
  recordDraft: (state, { draft: id }, answer, { now }) =>
    withDraft(state, id, 'recording', (draft) =>
      handleOutcomeWriteAnswer(state, draft, answer, now),
    ),
  readRecordedDraft: (state, { draft: id }, answer, { now }) =>
    withDraft(state, id, 'recording', (draft) =>
      handleOutcomeReadAnswer(state, draft, answer, now),
    ),
  scanDraftsOf: (state, { host }, answer, { now }) => readTakeoverPage(state, host, answer, now),
  readDraftOf: (state, purpose, answer, { now }) => takeOverDraft(state, purpose, answer, now),
  takeDraft: (state, { draft }, answer, { now }) =>
    handleTakeoverWriteAnswer(state, draft, answer, now),
  deleteDraftIndex: () => [],
  findDraftHosts: (state, _purpose, answer, { now }) => sweepNextHost(state, answer, now),
  readAskedDraft: (state, { command, operation }, answer) =>
    executeDraftCommand(state, command, operation, answer),
  changeAskedDraft: (state, { command, row, operation }, answer, { now }) =>
    handleDraftChangeAnswer(state, command, row, operation, answer, now),
  scanDraftList: (state, { id, state: wanted }, answer) =>
    answerDraftList(state, id, wanted, answer),
};

export const draftObjectHandlers: ObjectAnswerHandlers<DraftObjectPurpose['type']> = {
  storeDraftBody: (state, { draft }, answer, now) =>
    handleBodyWriteAnswer(state, draft, answer, now),
  readDraftBody: (state, { draft: id }, answer, now) =>
    withDraft(state, id, 'reading', (draft) =>
      handleDraftBodyReadAnswer(state, draft, answer, now),
    ),
  storeDraftResult: (state, { draft: id }, answer, now) =>
    withDraft(state, id, 'recording', (draft) =>
      handleResultWriteAnswer(state, draft, answer, now),
    ),
  readDraftResult: (_state, { id, draft }, answer) => answerWithLargeResult(id, draft, answer),
  deleteDraftObject: () => [],
};

/** Runs `next` if the draft is still in the phase that the answer or timer belongs to. */
function withDraft(
  state: State,
  id: string,
  phase: DraftPhase,
  next: (draft: OwnDraft) => Effect[],
): Effect[] {
  const draft = state.drafts.own.get(id);
  return draft?.phase === phase ? next(draft) : [];
}
