import type { MessageHandlers, TableAnswerHandlers, TimerHandlers } from '../core/handlers.ts';
import { continueSuspect } from '../requests/asking.ts';
import { blamePins } from './crashes.ts';
import {
  continueWrite,
  expireSuspect,
  pollSuspects,
  readRow,
  receiveSuspect,
  takeRows,
  writeRow,
} from './table.ts';
import type { SuspectTablePurpose, SuspectTimer } from './types.ts';

export const suspectMessages: MessageHandlers<'suspectReported'> = {
  suspectReported: (state, { suspect }, from, now) => receiveSuspect(state, suspect, from, now),
};

export const suspectTimers: TimerHandlers<SuspectTimer['type']> = {
  suspectExpiry: (state, { fingerprint }, now) => expireSuspect(state, fingerprint, now),
  syncSuspect: (_state, { fingerprint }) => [readRow(fingerprint)],
  blamePins: (state, timer, now) => blamePins(state, timer, now),
  pollSuspects: (state, _timer, now) => pollSuspects(state, now),
};

export const suspectTableHandlers: TableAnswerHandlers<SuspectTablePurpose['type']> = {
  scanSuspects: (state, _purpose, answer, { now }) => takeRows(state, answer, now),
  readSuspect: (state, { fingerprint }, answer, { now }) => [
    ...writeRow(state, fingerprint, answer, now),
    ...continueSuspect(state, fingerprint, now),
  ],
  writeSuspect: (state, { fingerprint }, answer, { now }) =>
    continueWrite(state, fingerprint, answer, now),
  deleteSuspect: () => [],
};
