import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { TableAnswer } from '../core/store.ts';
import { schedule } from '../core/timers.ts';
import { getFreshRetentionHour } from '../actions/actionRows.ts';
import {
  SUSPECT_PAGE_SIZE,
  SUSPECT_POLL_INTERVAL_MS,
  SUSPECT_KEY_PREFIX,
  SUSPECT_SYNC_RETRY_MS,
  SUSPECT_ROW_TTL_HOURS,
  ZONE_READER_POLL_INTERVAL_MS,
} from './constants.ts';
import { getRelays, getZonePeers } from '../membership/hosts.ts';
import { isSameSuspect } from './mergeSuspects.ts';
import { updateQuarantines } from './quarantine.ts';
import { mergeKnownSuspects } from './suspectRecords.ts';
import { newSuspectReports } from './suspectReports.ts';
import { Suspect } from './types.ts';

/** Starts the periodic scan of the suspect rows. */
export function startSuspectPolling(state: State, now: number): Effect[] {
  schedule(state, now, { type: 'pollSuspects' });
  return [];
}

/**
 * Scans the suspect rows and schedules the next scan. One host of each zone scans often and informs
 * the others, so that table calls grow with the number of zones, not of hosts.
 */
export function pollSuspects(state: State, now: number): Effect[] {
  const { id, zone } = state.host;
  const isReader = getRelays(state, zone)[0] === id;
  schedule(state, now + (isReader ? ZONE_READER_POLL_INTERVAL_MS : SUSPECT_POLL_INTERVAL_MS), {
    type: 'pollSuspects',
  });
  if (!isReader && now < state.suspects.polledAt + SUSPECT_POLL_INTERVAL_MS) return [];
  state.suspects.polledAt = now;
  return [newSuspectScan('')];
}

/** Merges a page of suspect rows, deletes expired ones and requests the next page. */
export function mergeSuspectRows(state: State, answer: TableAnswer, now: number): Effect[] {
  if (answer.type !== 'ok') return [];
  const effects: Effect[] = answer.rows.flatMap(({ key, value, version }) => {
    const row = Suspect.safeParse(value);
    if (!row.success) return [];
    if (!isExpired(state, row.data, now)) {
      const changed = mergeKnownSuspects(state, [row.data], now);
      return newSuspectReports(state, changed, getZonePeers(state));
    }
    const writes = [{ type: 'delete', key, condition: { type: 'version', version } } as const];
    const call = { type: 'write', writes } as const;
    return [{ type: 'callTable', call, purpose: { type: 'deleteSuspect' } } as const];
  });
  effects.push(...updateQuarantines(state, now));
  const last = answer.rows[SUSPECT_PAGE_SIZE - 1];
  return last === undefined ? effects : [...effects, newSuspectScan(last.key)];
}

/** Returns the read of a suspect row, which is written afterwards if it is outdated. */
export function readSuspectRow(attribute: string): Effect {
  return {
    type: 'callTable',
    call: { type: 'get', key: SUSPECT_KEY_PREFIX + attribute },
    purpose: { type: 'readSuspect', attribute },
  };
}

/** Merges the row that was read and writes it when this host knows more. */
export function writeSuspectRow(
  state: State,
  attribute: string,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type !== 'ok' && answer.type !== 'missing')
    return scheduleSuspectSync(state, attribute, now);
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  const row = Suspect.safeParse(stored?.value);
  const quarantineEffects = row.success ? mergeSuspectRow(state, row.data, now) : [];
  const known = state.suspects.byAttribute.get(attribute);
  if (known === undefined || (row.success && isSameSuspect(known, row.data)))
    return quarantineEffects;
  const condition =
    stored === undefined
      ? ({ type: 'absent' } as const)
      : ({ type: 'version', version: stored.version } as const);
  const key = SUSPECT_KEY_PREFIX + attribute;
  return [
    ...quarantineEffects,
    {
      type: 'callTable',
      call: { type: 'write', writes: [{ type: 'put', key, value: known, condition }] },
      purpose: { type: 'writeSuspect', attribute },
    },
  ];
}

function mergeSuspectRow(state: State, suspect: Suspect, now: number): Effect[] {
  mergeKnownSuspects(state, [suspect], now);
  return updateQuarantines(state, now);
}

/** Schedules another read of the row when the write failed. */
export function retryFailedSuspectWrite(
  state: State,
  attribute: string,
  answer: TableAnswer,
  now: number,
): Effect[] {
  return answer.type === 'ok' ? [] : scheduleSuspectSync(state, attribute, now);
}

/** Whether the retention hours of a row have passed; false while the current hour is unknown. */
function isExpired(state: State, { hour }: Suspect, now: number): boolean {
  const current = getFreshRetentionHour(state, now);
  return current !== undefined && hour >= 0 && hour + SUSPECT_ROW_TTL_HOURS <= current;
}

function scheduleSuspectSync(state: State, attribute: string, now: number): Effect[] {
  const delayMs = SUSPECT_SYNC_RETRY_MS * (0.5 + state.random.getFraction() / 2);
  schedule(state, now + delayMs, { type: 'syncSuspect', attribute });
  return [];
}

function newSuspectScan(after: string): Effect {
  return {
    type: 'callTable',
    call: { type: 'scan', prefix: SUSPECT_KEY_PREFIX, after, limit: SUSPECT_PAGE_SIZE },
    purpose: { type: 'scanSuspects' },
  };
}
