import type { MessageHandlers, TableAnswerHandlers, TimerHandlers } from '../core/handlers.ts';
import { resumeRequestsWaitingForSuspect } from '../requests/grantRequests.ts';
import { attributeCrashToPins } from './crashes.ts';
import { writeSuspectsRow } from './directorySuspects.ts';
import { decideQuarantines } from './quarantine.ts';
import { expireSuspect } from './suspectRecords.ts';
import { handleSuspectReport } from './suspectReports.ts';
import {
  retryFailedSuspectWrite,
  pollSuspects,
  readSuspectRow,
  mergeSuspectRows,
  writeSuspectRow,
} from './suspectRows.ts';
import type { SuspectTablePurpose, SuspectTimer } from './types.ts';

export const suspectMessages: MessageHandlers<'suspectsReported'> = {
  suspectsReported: (state, { suspects }, from, now) =>
    handleSuspectReport(state, suspects, from, now),
};

export const suspectTimers: TimerHandlers<SuspectTimer['type']> = {
  suspectExpiry: (state, { attribute }, now) => expireSuspect(state, attribute, now),
  syncSuspect: (_state, { attribute }) => [readSuspectRow(attribute)],
  attributeCrashToPins: (state, timer, now) => attributeCrashToPins(state, timer, now),
  pollSuspects: (state, _timer, now) => pollSuspects(state, now),
  decideQuarantines: (state, _timer, now) => {
    state.suspects.isDecisionScheduled = false;
    return decideQuarantines(state, now);
  },
  writeSuspectsRow: (state) => {
    state.suspects.isRowWriteScheduled = false;
    return writeSuspectsRow(state);
  },
};

export const suspectTableHandlers: TableAnswerHandlers<SuspectTablePurpose['type']> = {
  scanSuspects: (state, _purpose, answer, { now }) => mergeSuspectRows(state, answer, now),
  readSuspect: (state, { attribute }, answer, { now }) => [
    ...writeSuspectRow(state, attribute, answer, now),
    ...resumeRequestsWaitingForSuspect(state, attribute, now),
  ],
  writeSuspect: (state, { attribute }, answer, { now }) =>
    retryFailedSuspectWrite(state, attribute, answer, now),
  deleteSuspect: () => [],
};
