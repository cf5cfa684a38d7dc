import type { MessageHandlers, TableAnswerHandlers, TimerHandlers } from '../core/handlers.ts';
import { resumeRequestsWaitingForSuspect } from '../requests/grantRequests.ts';
import { attributeCrashToPins } from './crashes.ts';
import { writeSuspectsRow } from './directorySuspects.ts';
import {
  retryFailedSuspectWrite,
  expireSuspect,
  pollSuspects,
  readSuspectRow,
  handleSuspectReport,
  mergeSuspectRows,
  writeSuspectRow,
} from './suspectRows.ts';
import type { SuspectTablePurpose, SuspectTimer } from './types.ts';

export const suspectMessages: MessageHandlers<'suspectReported'> = {
  suspectReported: (state, { suspect }, from, now) =>
    handleSuspectReport(state, suspect, from, now),
};

export const suspectTimers: TimerHandlers<SuspectTimer['type']> = {
  suspectExpiry: (state, { fingerprint }, now) => expireSuspect(state, fingerprint, now),
  syncSuspect: (_state, { fingerprint }) => [readSuspectRow(fingerprint)],
  attributeCrashToPins: (state, timer, now) => attributeCrashToPins(state, timer, now),
  pollSuspects: (state, _timer, now) => pollSuspects(state, now),
  writeSuspectsRow: (state) => writeSuspectsRow(state),
};

export const suspectTableHandlers: TableAnswerHandlers<SuspectTablePurpose['type']> = {
  scanSuspects: (state, _purpose, answer, { now }) => mergeSuspectRows(state, answer, now),
  readSuspect: (state, { fingerprint }, answer, { now }) => [
    ...writeSuspectRow(state, fingerprint, answer, now),
    ...resumeRequestsWaitingForSuspect(state, fingerprint, now),
  ],
  writeSuspect: (state, { fingerprint }, answer, { now }) =>
    retryFailedSuspectWrite(state, fingerprint, answer, now),
  deleteSuspect: () => [],
};
