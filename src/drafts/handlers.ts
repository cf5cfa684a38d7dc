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
  continueBatchRead,
  continueBody,
  continueCommit,
  endAcceptWait,
  retryBatch,
} from './accepting.ts';
import {
  askDraft,
  continueAsk,
  continueChange,
  continueList,
  continueShow,
  listDrafts,
} from './asking.ts';
import { pumpDrafts } from './queue.ts';
import { continueRecord, continueRecordRead, continueResult, writeRecord } from './recording.ts';
import { continueDraftBody, continueDraftRead, failDraft, finishDraft } from './running.ts';
import {
  continueTake,
  continueTakeover,
  sweepDrafts,
  sweepHost,
  takeDraft,
  takePage,
} from './takeover.ts';
import { watchHosts } from './watch.ts';
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
    withDraft(state, id, 'running', (draft) => finishDraft(state, draft, body, now)),
  draftAsked: (_state, ask) => askDraft(ask, 'read'),
  draftDeleteAsked: (_state, ask) => askDraft(ask, 'delete'),
  draftRetryAsked: (_state, ask) => askDraft(ask, 'retry'),
  draftListAsked: (_state, { id, state: wanted, after }) => listDrafts(id, wanted, after),
};

export const draftTimers: TimerHandlers<DraftTimer['type']> = {
  commitDrafts: (state, { batch }) => commitBatch(state, batch),
  retryBatch: (state, { batch }) => retryBatch(state, batch),
  draftAcceptLimit: (state, { draft }) => endAcceptWait(state, draft),
  draftDue: (state, { draft: id }, now) =>
    withDraft(state, id, 'queued', () => {
      state.drafts.ready.add(id);
      return pumpDrafts(state, now);
    }),
  recordDraft: (state, { draft: id }, now) =>
    withDraft(state, id, 'recording', (draft) => writeRecord(state, draft, now)),
  draftRequestFailed: (state, { id: request, draft: id, failure }, now) => [
    { type: 'dropDraftRequest', id: request },
    ...withDraft(state, id, 'running', (draft) =>
      draft.request === request ? failDraft(state, draft, failure, now) : [],
    ),
  ],
  watchDraftHosts: (state, _timer, now) => watchHosts(state, now),
  sweepDrafts: (state, _timer, now) => sweepDrafts(state, now),
  continueTakeover: (_state, { host, after }) => continueTakeover(host, after),
  pumpDrafts: (state, _timer, now) => pumpDrafts(state, now),
};

export const draftTableHandlers: TableAnswerHandlers<DraftTablePurpose['type']> = {
  commitDrafts: (state, { batch }, answer, { now }) => continueCommit(state, batch, answer, now),
  readBatch: (state, { batch }, answer, { now }) => continueBatchRead(state, batch, answer, now),
  readDraftToRun: (state, { draft: id }, answer, { now }) =>
    withDraft(state, id, 'reading', (draft) => continueDraftRead(state, draft, answer, now)),
  recordDraft: (state, { draft: id }, answer, { now }) =>
    withDraft(state, id, 'recording', (draft) => continueRecord(state, draft, answer, now)),
  readRecordedDraft: (state, { draft: id }, answer, { now }) =>
    withDraft(state, id, 'recording', (draft) => continueRecordRead(state, draft, answer, now)),
  scanDraftsOf: (state, { host }, answer, { now }) => takePage(state, host, answer, now),
  readDraftOf: (state, purpose, answer, { now }) => takeDraft(state, purpose, answer, now),
  takeDraft: (state, { draft }, answer, { now }) => continueTake(state, draft, answer, now),
  deleteDraftIndex: () => [],
  findDraftHosts: (state, _purpose, answer, { now }) => sweepHost(state, answer, now),
  readAskedDraft: (state, { ask, action }, answer) => continueAsk(state, ask, action, answer),
  changeAskedDraft: (state, { ask, row, action }, answer, { now }) =>
    continueChange(state, ask, row, action, answer, now),
  scanDraftList: (state, { id, state: wanted }, answer) => continueList(state, id, wanted, answer),
};

export const draftObjectHandlers: ObjectAnswerHandlers<DraftObjectPurpose['type']> = {
  storeDraftBody: (state, { draft }, answer, now) => continueBody(state, draft, answer, now),
  readDraftBody: (state, { draft: id }, answer, now) =>
    withDraft(state, id, 'reading', (draft) => continueDraftBody(state, draft, answer, now)),
  storeDraftResult: (state, { draft: id }, answer, now) =>
    withDraft(state, id, 'recording', (draft) => continueResult(state, draft, answer, now)),
  readDraftResult: (_state, { id, draft }, answer) => continueShow(id, draft, answer),
  deleteDraftObject: () => [],
};

/** Runs `next` when the draft is still in the phase that the answer or timer belongs to. */
function withDraft(
  state: State,
  id: string,
  phase: DraftPhase,
  next: (draft: OwnDraft) => Effect[],
): Effect[] {
  const draft = state.drafts.own.get(id);
  return draft?.phase === phase ? next(draft) : [];
}
