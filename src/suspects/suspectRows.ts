import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { TableAnswer } from '../core/store.ts';
import { newLog } from '../core/observations.ts';
import { schedule } from '../core/timers.ts';
import { getStampHour } from '../actions/rows.ts';
import {
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

/** Starts to read the rows of suspects. */
export function startSuspectPolling(state: State, now: number): Effect[] {
  schedule(state, now, { type: 'pollSuspects' });
  return [];
}

/** Takes over a change that this host made; tells all linked peers and the table. */
export function publishSuspect(state: State, next: Suspect, now: number): Effect[] {
  const isNew = takeSuspect(state, next, now);
  if (!isNew) return [];
  return [
    ...tell(state, next, [...state.membership.linkedHosts]),
    readSuspectRow(next.fingerprint),
  ];
}

/** Takes over what a peer said and passes it on to where the peer's message did not go. */
export function handleSuspectReport(
  state: State,
  suspect: Suspect,
  from: string,
  now: number,
): Effect[] {
  if (!takeSuspect(state, suspect, now)) return [];
  const { fingerprint, crashes, isCondemned } = suspect;
  const log = newLog('info', 'suspect learned', { fingerprint, from, crashes, isCondemned });
  const { hosts, linkedHosts: linked } = state.membership;
  const zone = hosts.get(from)?.zone;
  const others = [...linked].filter((host) => {
    return host !== from && (zone === undefined || hosts.get(host)?.zone !== zone);
  });
  const merged = state.suspects.byFingerprint.get(suspect.fingerprint) ?? suspect;
  return [log, ...tell(state, merged, others)];
}

/**
 * Reads the rows of suspects and schedules the next read. One host of each zone reads often and
 * tells the others, so that the calls to the table grow with the zones and not with the hosts.
 */
export function pollSuspects(state: State, now: number): Effect[] {
  const { id, zone } = state.host;
  const isReader = getRelays(state, zone)[0] === id;
  schedule(state, now + (isReader ? ZONE_READER_POLL_INTERVAL_MS : SUSPECT_POLL_INTERVAL_MS), {
    type: 'pollSuspects',
  });
  if (!isReader && now < state.suspects.polledAt + SUSPECT_POLL_INTERVAL_MS) return [];
  state.suspects.polledAt = now;
  return [newScan('')];
}

/** Tells a host that can be reached again what it may have missed. */
export function sendKnownSuspects(state: State, host: string): Effect[] {
  const known = [...state.suspects.byFingerprint.values()].slice(-MAX_SENT_SUSPECTS);
  return known.flatMap((suspect) => tell(state, suspect, [host]));
}

/** Takes over a page of rows and reads the next one. */
export function mergeSuspectRows(state: State, answer: TableAnswer, now: number): Effect[] {
  if (answer.type !== 'ok') return [];
  const effects = answer.rows.flatMap(({ key, value, version }) => {
    const row = Suspect.safeParse(value);
    if (!row.success) return [];
    if (!isExpired(state, row.data, now)) {
      if (!takeSuspect(state, row.data, now)) return [];
      return tell(state, row.data, getZonePeers(state));
    }
    const writes = [{ type: 'delete', key, condition: { type: 'version', version } } as const];
    const call = { type: 'write', writes } as const;
    return [{ type: 'callTable', call, purpose: { type: 'deleteSuspect' } } as const];
  });
  const last = answer.rows[SUSPECT_PAGE_SIZE - 1];
  return last === undefined ? effects : [...effects, newScan(last.key)];
}

/** Reads the row of a suspect in order to bring it up to date. */
export function readSuspectRow(fingerprint: string): Effect {
  return {
    type: 'callTable',
    call: { type: 'get', key: SUSPECT_KEY_PREFIX + fingerprint },
    purpose: { type: 'readSuspect', fingerprint },
  };
}

/** Writes the row of a suspect when it says less than this host knows. */
export function writeSuspectRow(
  state: State,
  fingerprint: string,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type !== 'ok' && answer.type !== 'missing') return syncLater(state, fingerprint, now);
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  const row = Suspect.safeParse(stored?.value);
  if (row.success) takeSuspect(state, row.data, now);
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

/** Reads the row again later unless it was written. */
export function retryFailedSuspectWrite(
  state: State,
  fingerprint: string,
  answer: TableAnswer,
  now: number,
): Effect[] {
  return answer.type === 'ok' ? [] : syncLater(state, fingerprint, now);
}

/** Forgets a suspect whose last crash is long ago. */
export function expireSuspect(state: State, fingerprint: string, now: number): Effect[] {
  const { byFingerprint, expiresAt } = state.suspects;
  if ((expiresAt.get(fingerprint) ?? Infinity) > now) return [];
  byFingerprint.delete(fingerprint);
  expiresAt.delete(fingerprint);
  return [];
}

/** Merges what another host or the table says; returns whether it was news. */
function takeSuspect(state: State, suspect: Suspect, now: number): boolean {
  const { byFingerprint, expiresAt } = state.suspects;
  const { fingerprint } = suspect;
  const known = byFingerprint.get(fingerprint);
  const merged = known === undefined ? suspect : mergeSuspects(known, suspect);
  if (known !== undefined && isSameSuspect(known, merged)) return false;
  // Deleted first, so that the map stays ordered by the latest news.
  byFingerprint.delete(fingerprint);
  byFingerprint.set(fingerprint, merged);
  expiresAt.set(fingerprint, now + SUSPECT_TTL_MS);
  schedule(state, now + SUSPECT_TTL_MS, { type: 'suspectExpiry', fingerprint });
  return true;
}

/** Whether a row that this host does not know otherwise is out of date. */
function isExpired(state: State, { hour }: Suspect, now: number): boolean {
  const current = getStampHour(state, now);
  return current !== undefined && hour >= 0 && hour + SUSPECT_ROW_TTL_HOURS <= current;
}

function tell(state: State, suspect: Suspect, hosts: readonly string[]): Effect[] {
  return hosts
    .filter((host) => host !== state.host.id)
    .map((host) => deliver(state, host, { type: 'suspectReported', suspect }));
}

function syncLater(state: State, fingerprint: string, now: number): Effect[] {
  const wait = SUSPECT_SYNC_RETRY_MS * (0.5 + state.random.getFraction() / 2);
  schedule(state, now + wait, { type: 'syncSuspect', fingerprint });
  return [];
}

function newScan(after: string): Effect {
  return {
    type: 'callTable',
    call: { type: 'scan', prefix: SUSPECT_KEY_PREFIX, after, limit: SUSPECT_PAGE_SIZE },
    purpose: { type: 'scanSuspects' },
  };
}
