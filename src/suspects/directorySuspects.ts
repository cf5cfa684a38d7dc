import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { DirectoryWriteAnswer } from '../directory/types.ts';
import { isLinkedToMostMembers } from '../owners/owner.ts';
import {
  MAX_STORED_CRASHES,
  MAX_STORED_SUSPECTS,
  MIN_STORED_CRASHES,
  SUSPECT_SYNC_RETRY_MS,
} from './constants.ts';
import { getCountedCrashes, isSameSuspect } from './mergeSuspects.ts';
import { mergeKnownSuspect, newSuspectReports } from './suspectRows.ts';
import type { Suspect, SuspectsRow } from './types.ts';

/**
 * Merges a local change on a host with a directory, sends it to all linked hosts and writes the row
 * of suspects if the change belongs there.
 */
export function publishDirectorySuspect(state: State, next: Suspect, now: number): Effect[] {
  if (!mergeKnownSuspect(state, next, now)) return [];
  return [
    ...newSuspectReports(state, next, [...state.owners.linkedHosts]),
    ...writeSuspectsRow(state),
  ];
}

/** Merges the row of suspects that was read from the directory. */
export function applySuspectsRow(
  state: State,
  row: SuspectsRow,
  version: number,
  now: number,
): Effect[] {
  state.suspects.storedRow = row;
  state.suspects.storedVersion = version;
  const changed = row.suspects.filter((suspect) => mergeKnownSuspect(state, suspect, now));
  if (changed.length === 0) return [];
  const fingerprints = changed.map(({ fingerprint }) => fingerprint);
  return [newLog('info', 'suspects updated by the directory', { fingerprints, version })];
}

/** Writes the row of suspects if it lacks some that this host knows. */
export function writeSuspectsRow(state: State): Effect[] {
  const { suspects, directory } = state;
  // Before the first read, the version to write against is unknown.
  if (suspects.isWritingRow || directory.topics.members.version === undefined) return [];
  const row = newSuspectsRow(state);
  if (row.suspects.every((suspect) => isStored(suspects.storedRow, suspect))) return [];
  suspects.isWritingRow = true;
  return [{ type: 'writeSuspects', row, version: suspects.storedVersion }];
}

/** Adopts the written or the conflicting row, and writes again what it still lacks. */
export function handleSuspectsWriteAnswer(
  state: State,
  row: SuspectsRow,
  answer: DirectoryWriteAnswer,
  now: number,
): Effect[] {
  state.suspects.isWritingRow = false;
  if (answer.type === 'written') {
    return [...applySuspectsRow(state, row, answer.version, now), ...writeSuspectsRow(state)];
  }
  if (answer.type === 'conflict' && answer.current?.content.type === 'suspects') {
    const { content, version } = answer.current;
    return [...applySuspectsRow(state, content.row, version, now), ...writeSuspectsRow(state)];
  }
  const delayMs = SUSPECT_SYNC_RETRY_MS * (0.5 + state.random.getFraction() / 2);
  schedule(state, now + delayMs, { type: 'writeSuspectsRow' });
  const reason = answer.type === 'conflict' ? 'the row is absent or malformed' : answer.reason;
  return [newLog('warn', 'write of the suspects row failed', { reason })];
}

/**
 * Returns the row that this host would write: the suspects of repeated crashes, or of any crash while
 * reports do not reach most members, and what the row has already. The most crashes come last.
 */
function newSuspectsRow({ suspects, owners, host }: State): SuspectsRow {
  const { byFingerprint, storedRow } = suspects;
  const minCrashes = isLinkedToMostMembers(owners, host.id) ? MIN_STORED_CRASHES : 1;
  const stored = new Set(storedRow.suspects.map(({ fingerprint }) => fingerprint));
  const kept = [...byFingerprint.values()]
    .map((suspect) => ({ suspect, count: getCountedCrashes(suspect).length }))
    .filter(({ suspect, count }) => stored.has(suspect.fingerprint) || count >= minCrashes)
    .sort((a, b) => a.count - b.count)
    .slice(-MAX_STORED_SUSPECTS);
  return { suspects: kept.map(({ suspect }) => trimSuspect(suspect)) };
}

function trimSuspect(suspect: Suspect): Suspect {
  return {
    ...suspect,
    crashes: suspect.crashes.slice(-MAX_STORED_CRASHES),
    cleared: suspect.cleared.slice(-MAX_STORED_CRASHES),
  };
}

function isStored({ suspects }: SuspectsRow, suspect: Suspect): boolean {
  return suspects.some(
    (stored) => stored.fingerprint === suspect.fingerprint && isSameSuspect(stored, suspect),
  );
}
