import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { DirectoryWriteAnswer } from '../directory/types.ts';
import { countLimitSharers, isLinkedToMostMembers } from '../owners/owner.ts';
import {
  MAX_STORED_CRASHES,
  MAX_STORED_SUSPECTS,
  MAX_ROW_CONFLICT_RETRY_MS,
  MIN_STORED_CRASHES,
  ROW_CONFLICT_RETRY_MS,
  ROW_WRITE_SPREAD_PER_HOST_MS,
  SUSPECT_SYNC_RETRY_MS,
} from './constants.ts';
import { getCountedCrashes, isSameSuspect } from './mergeSuspects.ts';
import { updateQuarantines } from './quarantine.ts';
import { mergeKnownSuspects } from './suspectRecords.ts';
import type { Suspect, SuspectsRow } from './types.ts';

/** Merges the row of suspects that was read from the directory; its absence is an empty row of version 0. */
export function applySuspectsRow(
  state: State,
  row: SuspectsRow,
  version: number,
  now: number,
): Effect[] {
  state.suspects.storedRow = row;
  state.suspects.storedVersion = version;
  // The row lacks what this host knows after it was deleted or came back from an older copy.
  if (!state.suspects.isWritingRow) scheduleRowWrite(state, now);
  const changed = mergeKnownSuspects(state, row.suspects, now);
  if (changed.length === 0) return [];
  const attributes = changed.map(({ attribute }) => attribute);
  return [
    newLog('info', 'suspects updated by the directory', { attributes, version }),
    ...updateQuarantines(state, now),
  ];
}

/** Writes the row of suspects if it lacks some that this host knows. */
export function writeSuspectsRow(state: State): Effect[] {
  const { suspects, directory } = state;
  // Before the first read, the version to write against is unknown.
  if (suspects.isWritingRow || directory.topics.members.version === undefined) return [];
  const row = newSuspectsRow(state);
  if (row.suspects.every((suspect) => isStored(suspects.storedRow, suspect))) return [];
  suspects.isWritingRow = true;
  return [
    { type: 'writeRow', content: { type: 'suspects', row }, version: suspects.storedVersion },
  ];
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
    state.suspects.rowConflicts = 0;
    return [...applySuspectsRow(state, row, answer.version, now), ...writeSuspectsRow(state)];
  }
  if (answer.type === 'conflict') {
    const content = answer.current?.content;
    // A row that is absent or malformed is replaced.
    const current = content?.type === 'suspects' ? content.row : { suspects: [] };
    const version = answer.current?.version ?? 0;
    const effects = applySuspectsRow(state, current, version, now);
    scheduleConflictRetry(state, now);
    return effects;
  }
  scheduleRowWrite(state, now);
  return [newLog('warn', 'write of the suspects row failed', { reason: answer.reason })];
}

/**
 * Schedules a write of the row, which is left out if the row lacks nothing by then. The writes of all hosts
 * are spread, so that the first ones reach the others before they would write the same.
 */
export function scheduleRowWrite(state: State, now: number): void {
  if (state.suspects.isRowWriteScheduled) return;
  state.suspects.isRowWriteScheduled = true;
  const spreadMs = Math.max(
    SUSPECT_SYNC_RETRY_MS / 2,
    ROW_WRITE_SPREAD_PER_HOST_MS * countLimitSharers(state.owners),
  );
  const delayMs = SUSPECT_SYNC_RETRY_MS / 2 + spreadMs * state.random.getFraction();
  schedule(state, now + delayMs, { type: 'writeSuspectsRow' });
}

/** Writes the row again soon after another host was first; many hosts may do so at once. */
function scheduleConflictRetry(state: State, now: number): void {
  const { suspects, random } = state;
  const maxDelayMs = ROW_CONFLICT_RETRY_MS * 2 ** suspects.rowConflicts;
  const delayMs = Math.min(MAX_ROW_CONFLICT_RETRY_MS, maxDelayMs) * random.getFraction();
  suspects.rowConflicts = Math.min(suspects.rowConflicts + 1, 8);
  schedule(state, now + delayMs, { type: 'writeSuspectsRow' });
}

/**
 * Returns the row that this host would write: what is quarantined and requests of repeated crashes; any
 * suspect while reports do not reach most members; and what the row has already. Quarantined attributes
 * and those of the most crashes come last, so that they stay when the row is full.
 */
function newSuspectsRow({ suspects, owners, host }: State): SuspectsRow {
  const { byAttribute, storedRow, quarantined } = suspects;
  const minCrashes = isLinkedToMostMembers(owners, host.id) ? MIN_STORED_CRASHES : 1;
  const stored = new Set(storedRow.suspects.map(({ attribute }) => attribute));
  const isKept = ({ attribute, isProven }: Suspect, count: number): boolean =>
    stored.has(attribute) || quarantined.has(attribute) || (count >= minCrashes && !isProven);
  const kept = [...byAttribute.values()]
    .map((suspect) => ({ suspect, count: getCountedCrashes(suspect).length }))
    .filter(({ suspect, count }) => isKept(suspect, count))
    .sort((a, b) => {
      const isMore = Number(quarantined.has(a.suspect.attribute));
      return isMore - Number(quarantined.has(b.suspect.attribute)) || a.count - b.count;
    })
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
    (stored) => stored.attribute === suspect.attribute && isSameSuspect(stored, suspect),
  );
}
