import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { TableAnswer } from '../core/store.ts';
import { newLog } from '../core/observations.ts';
import { schedule } from '../core/timers.ts';
import { getFreshRetentionHour } from '../actions/actionRows.ts';
import {
  MAX_KNOWN_SUSPECTS,
  MAX_SENT_SUSPECTS,
  SUSPECT_PAGE_SIZE,
  SUSPECT_POLL_INTERVAL_MS,
  SUSPECT_KEY_PREFIX,
  SUSPECT_SYNC_RETRY_MS,
  SUSPECT_ROW_TTL_HOURS,
  SUSPECT_TTL_MS,
  ZONE_READER_POLL_INTERVAL_MS,
} from './constants.ts';
import { getRelays, getZonePeers } from '../membership/hosts.ts';
import { isSameSuspect, mergeSuspects } from './mergeSuspects.ts';
import { Suspect } from './types.ts';

/** Starts the periodic scan of the suspect rows. */
export function startSuspectPolling(state: State, now: number): Effect[] {
  schedule(state, now, { type: 'pollSuspects' });
  return [];
}

/** Merges a local change, sends it to all linked hosts and starts the update of its row. */
export function publishSuspect(state: State, next: Suspect, now: number): Effect[] {
  const hasChanged = mergeKnownSuspect(state, next, now);
  if (!hasChanged) return [];
  return [
    ...newSuspectReports(state, next, [...state.membership.linkedHosts]),
    readSuspectRow(next.fingerprint),
  ];
}

/** Merges a peer's report and forwards it to the linked hosts outside of the peer's zone. */
export function handleSuspectReport(
  state: State,
  suspect: Suspect,
  from: string,
  now: number,
): Effect[] {
  if (!mergeKnownSuspect(state, suspect, now)) return [];
  const { fingerprint, crashes, isCondemned } = suspect;
  const log = newLog('info', 'suspect updated by peer report', {
    fingerprint,
    from,
    crashes,
    isCondemned,
  });
  const { hosts, linkedHosts } = state.membership;
  const zone = hosts.get(from)?.zone;
  const others = [...linkedHosts].filter((host) => {
    return host !== from && (zone === undefined || hosts.get(host)?.zone !== zone);
  });
  const merged = state.suspects.byFingerprint.get(suspect.fingerprint) ?? suspect;
  return [log, ...newSuspectReports(state, merged, others)];
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

/** Sends known suspects to a host whose link opened, since it may have missed reports. */
export function sendKnownSuspects(state: State, host: string): Effect[] {
  const known = [...state.suspects.byFingerprint.values()].slice(-MAX_SENT_SUSPECTS);
  return known.flatMap((suspect) => newSuspectReports(state, suspect, [host]));
}

/** Merges a page of suspect rows, deletes expired ones and requests the next page. */
export function mergeSuspectRows(state: State, answer: TableAnswer, now: number): Effect[] {
  if (answer.type !== 'ok') return [];
  const effects = answer.rows.flatMap(({ key, value, version }) => {
    const row = Suspect.safeParse(value);
    if (!row.success) return [];
    if (!isExpired(state, row.data, now)) {
      if (!mergeKnownSuspect(state, row.data, now)) return [];
      return newSuspectReports(state, row.data, getZonePeers(state));
    }
    const writes = [{ type: 'delete', key, condition: { type: 'version', version } } as const];
    const call = { type: 'write', writes } as const;
    return [{ type: 'callTable', call, purpose: { type: 'deleteSuspect' } } as const];
  });
  const last = answer.rows[SUSPECT_PAGE_SIZE - 1];
  return last === undefined ? effects : [...effects, newSuspectScan(last.key)];
}

/** Returns the read of a suspect row, which is written afterwards if it is outdated. */
export function readSuspectRow(fingerprint: string): Effect {
  return {
    type: 'callTable',
    call: { type: 'get', key: SUSPECT_KEY_PREFIX + fingerprint },
    purpose: { type: 'readSuspect', fingerprint },
  };
}

/** Merges the row that was read and writes it when this host knows more. */
export function writeSuspectRow(
  state: State,
  fingerprint: string,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type !== 'ok' && answer.type !== 'missing')
    return scheduleSuspectSync(state, fingerprint, now);
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  const row = Suspect.safeParse(stored?.value);
  if (row.success) mergeKnownSuspect(state, row.data, now);
  const known = state.suspects.byFingerprint.get(fingerprint);
  if (known === undefined || (row.success && isSameSuspect(known, row.data))) return [];
  const condition =
    stored === undefined
      ? ({ type: 'absent' } as const)
      : ({ type: 'version', version: stored.version } as const);
  const key = SUSPECT_KEY_PREFIX + fingerprint;
  return [
    {
      type: 'callTable',
      call: { type: 'write', writes: [{ type: 'put', key, value: known, condition }] },
      purpose: { type: 'writeSuspect', fingerprint },
    },
  ];
}

/** Schedules another read of the row when the write failed. */
export function retryFailedSuspectWrite(
  state: State,
  fingerprint: string,
  answer: TableAnswer,
  now: number,
): Effect[] {
  return answer.type === 'ok' ? [] : scheduleSuspectSync(state, fingerprint, now);
}

/** Removes a suspect whose retention time has ended. */
export function expireSuspect(state: State, fingerprint: string, now: number): Effect[] {
  const { byFingerprint, expiresAt } = state.suspects;
  if ((expiresAt.get(fingerprint) ?? Infinity) > now) return [];
  byFingerprint.delete(fingerprint);
  expiresAt.delete(fingerprint);
  return [];
}

/** Merges a record into the known suspects; returns whether anything changed. */
export function mergeKnownSuspect(state: State, suspect: Suspect, now: number): boolean {
  const { byFingerprint, expiresAt } = state.suspects;
  const { fingerprint } = suspect;
  const known = byFingerprint.get(fingerprint);
  const merged = known === undefined ? suspect : mergeSuspects(known, suspect);
  if (known !== undefined && isSameSuspect(known, merged)) return false;
  // Deleted first, so that the map stays ordered by last change.
  byFingerprint.delete(fingerprint);
  byFingerprint.set(fingerprint, merged);
  dropOldestSuspects(state);
  expiresAt.set(fingerprint, now + SUSPECT_TTL_MS);
  schedule(state, now + SUSPECT_TTL_MS, { type: 'suspectExpiry', fingerprint });
  return true;
}

function dropOldestSuspects({ suspects: { byFingerprint, expiresAt } }: State): void {
  for (const fingerprint of byFingerprint.keys()) {
    if (byFingerprint.size <= MAX_KNOWN_SUSPECTS) return;
    byFingerprint.delete(fingerprint);
    expiresAt.delete(fingerprint);
  }
}

/** Whether the retention hours of a row have passed; false while the current hour is unknown. */
function isExpired(state: State, { hour }: Suspect, now: number): boolean {
  const current = getFreshRetentionHour(state, now);
  return current !== undefined && hour >= 0 && hour + SUSPECT_ROW_TTL_HOURS <= current;
}

/** Returns the reports of a suspect to other hosts. */
export function newSuspectReports(
  state: State,
  suspect: Suspect,
  hosts: readonly string[],
): Effect[] {
  return hosts
    .filter((host) => host !== state.host.id)
    .map((host) => sendMessage(state, host, { type: 'suspectReported', suspect }));
}

function scheduleSuspectSync(state: State, fingerprint: string, now: number): Effect[] {
  const delayMs = SUSPECT_SYNC_RETRY_MS * (0.5 + state.random.getFraction() / 2);
  schedule(state, now + delayMs, { type: 'syncSuspect', fingerprint });
  return [];
}

function newSuspectScan(after: string): Effect {
  return {
    type: 'callTable',
    call: { type: 'scan', prefix: SUSPECT_KEY_PREFIX, after, limit: SUSPECT_PAGE_SIZE },
    purpose: { type: 'scanSuspects' },
  };
}
