import { getRendezvousChoice } from '../base/hash.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { TableAnswer } from '../core/store.ts';
import { schedule } from '../core/timers.ts';
import { getRelays, isFullMesh } from '../membership/hosts.ts';
import { getReachableHosts } from '../membership/reachability.ts';
import {
  HOST_INDEX_PREFIX,
  SWEEP_INTERVAL_MS,
  TAKEOVER_PAGE_SIZE,
  TAKEOVER_PAGE_PAUSE_MS,
  HOST_CHECK_INTERVAL_MS,
  OWN_SCAN_RETRY_MS,
} from './constants.ts';
import { addOwnDraft, startReadyDrafts } from './draftQueue.ts';
import {
  getDraftIdFromKey,
  getHostIndexKey,
  isOwnRow,
  newDraftRead,
  newDraftWrites,
} from './draftRows.ts';
import { DraftRow } from './types.ts';

/** Takes over the drafts of an earlier incarnation of this host, and starts the periodic checks. */
export function startDrafts(state: State, now: number): Effect[] {
  schedule(state, now + SWEEP_INTERVAL_MS, { type: 'sweepDrafts' });
  schedule(state, now + HOST_CHECK_INTERVAL_MS, { type: 'checkDraftHosts' });
  return startDraftTakeover(state, state.host.id, now);
}

/**
 * Starts to take over the drafts of a host by conditional writes with a higher fence. This is
 * harmless if the host is alive: it drops the drafts that it no longer owns.
 */
export function startDraftTakeover(state: State, host: string, _now: number): Effect[] {
  return [newTakeoverScan(host, '')];
}

/**
 * Whether this host takes over the drafts of `host`. Rendezvous hashing chooses the successor among
 * the live hosts of the same zone, or of another zone if that zone has none.
 */
export function isDraftSuccessor(state: State, host: string): boolean {
  const { hosts, linkedHosts } = state.membership;
  const own = { host: state.host.id, zone: state.host.zone };
  // A host without a link may have failed together with `host`.
  const others = [...hosts.values()].filter(
    (entry) => entry.state === 'live' && linkedHosts.has(entry.host) && entry.host !== host,
  );
  const live = [...others.filter((entry) => entry.host !== own.host), own];
  const zone = hosts.get(host)?.zone;
  const zones = [...new Set(live.map((entry) => entry.zone))].sort();
  const isZoneLive = zone !== undefined && zones.includes(zone);
  const successorZone = isZoneLive ? zone : getRendezvousChoice(zone ?? host, zones);
  // Where the mesh is not full, only relays learn that another zone is gone.
  const relays =
    isZoneLive || isFullMesh(state) ? undefined : getRelays(state, successorZone ?? '');
  const candidates = live
    .filter((entry) => entry.zone === successorZone && (relays?.includes(entry.host) ?? true))
    .map((entry) => entry.host);
  return getRendezvousChoice(`drafts/${host}`, candidates) === own.host;
}

/** Reads the drafts of a scanned page, and schedules the scan of the next page. */
export function readTakeoverPage(
  state: State,
  host: string,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type !== 'ok') {
    if (host === state.host.id) scheduleOwnScan(state, now);
    return [];
  }
  const last = answer.rows[TAKEOVER_PAGE_SIZE - 1];
  if (last !== undefined) {
    const timer = { type: 'scanTakeoverPage', host, after: last.key } as const;
    schedule(state, now + TAKEOVER_PAGE_PAUSE_MS, timer);
  }
  return answer.rows
    .map(({ key, version }) => ({ draft: getDraftIdFromKey(key), version }))
    .filter(({ draft }) => host !== state.host.id || !state.drafts.own.has(draft))
    .map(({ draft, version }) =>
      newDraftRead(draft, { type: 'readDraftOf', host, draft, version }),
    );
}

/** Scans the next page of a takeover. */
export function scanTakeoverPage(host: string, after: string): Effect[] {
  return [newTakeoverScan(host, after)];
}

/** Takes over a draft whose row was read; deletes its index entry if that is stale. */
export function takeOverDraft(
  state: State,
  { host, draft: id, version }: { host: string; draft: string; version: string },
  answer: TableAnswer,
  now: number,
): Effect[] {
  const stored = answer.type === 'ok' ? answer.rows[0] : undefined;
  const row = DraftRow.safeParse(stored?.value);
  if (answer.type === 'missing') return [deleteHostIndexEntry(host, id, version)];
  if (answer.type !== 'ok' && host === state.host.id) scheduleOwnScan(state, now);
  if (stored === undefined || !row.success) return [];
  if (row.data.state !== 'queued' || row.data.host !== host)
    return [deleteHostIndexEntry(host, id, version)];
  if (isOwnRow(state, row.data)) return queueOwnDraft(state, id, now);
  const { id: own, incarnation } = state.host;
  const next: DraftRow = { ...row.data, host: own, incarnation, fence: row.data.fence + 1 };
  const writes = newDraftWrites(next, stored.version);
  if (host !== own) {
    writes.push({ type: 'delete', key: getHostIndexKey(host, id), condition: { type: 'any' } });
  }
  const call = { type: 'write', writes } as const;
  return [{ type: 'callTable', call, purpose: { type: 'takeDraft', draft: id } }];
}

/**
 * Queues a draft after its takeover was written; after a lost answer, another scan of this host's drafts
 * finds it.
 */
export function handleTakeoverWriteAnswer(
  state: State,
  id: string,
  answer: TableAnswer,
  now: number,
): Effect[] {
  if (answer.type === 'ok') return queueOwnDraft(state, id, now);
  scheduleOwnScan(state, now);
  return [];
}

/** Scans the drafts of this host again soon, which were not all read or taken over. */
export function rescanOwnDrafts(state: State, now: number): Effect[] {
  state.drafts.isOwnScanScheduled = false;
  return startDraftTakeover(state, state.host.id, now);
}

/**
 * Schedules another scan of this host's drafts: while the table is unavailable at a start, drafts of the
 * earlier process would wait for the next sweep.
 */
function scheduleOwnScan(state: State, now: number): void {
  const { drafts, random } = state;
  if (drafts.isOwnScanScheduled) return;
  drafts.isOwnScanScheduled = true;
  const delayMs = OWN_SCAN_RETRY_MS * (0.5 + random.getFraction() / 2);
  schedule(state, now + delayMs, { type: 'rescanOwnDrafts' });
}

/**
 * Scans for drafts of this host that are missing from its memory. One host, the sweeper, also scans
 * for drafts of gone hosts.
 */
export function sweepDrafts(state: State, now: number): Effect[] {
  schedule(state, now + SWEEP_INTERVAL_MS, { type: 'sweepDrafts' });
  const effects = startDraftTakeover(state, state.host.id, now);
  if (!isSweeper(state, now)) return effects;
  state.drafts.previousGoneHosts = state.drafts.goneHosts;
  state.drafts.goneHosts = new Set();
  return [...effects, newHostIndexScan(HOST_INDEX_PREFIX)];
}

/**
 * Takes over the drafts of the host that the sweep found, if it is gone, and finds the next host.
 */
export function sweepNextHost(state: State, answer: TableAnswer, now: number): Effect[] {
  const key = answer.type === 'ok' ? answer.rows[0]?.key : undefined;
  const host = key?.slice(HOST_INDEX_PREFIX.length).split('/')[0];
  if (host === undefined || host === '') return [];
  // "0" is the character after "/", so the scan skips the other drafts of the host.
  const next = newHostIndexScan(`${HOST_INDEX_PREFIX}${host}0`);
  const entry = state.membership.hosts.get(host);
  if (host === state.host.id || (entry !== undefined && entry.state !== 'gone')) return [next];
  state.drafts.goneHosts.add(host);
  // A host without a membership entry may be joining; one that was also gone in the previous sweep,
  // a minute ago, is not.
  if (!state.drafts.previousGoneHosts.has(host)) return [next];
  return [next, ...startDraftTakeover(state, host, now)];
}

function queueOwnDraft(state: State, id: string, now: number): Effect[] {
  addOwnDraft(state, id);
  return startReadyDrafts(state, now);
}

function isSweeper(state: State, now: number): boolean {
  return getRendezvousChoice('sweep/drafts', getReachableHosts(state, now)) === state.host.id;
}

function newTakeoverScan(host: string, after: string): Effect {
  return {
    type: 'callTable',
    call: {
      type: 'scan',
      prefix: `${HOST_INDEX_PREFIX}${host}/`,
      after,
      limit: TAKEOVER_PAGE_SIZE,
    },
    purpose: { type: 'scanDraftsOf', host },
  };
}

function newHostIndexScan(after: string): Effect {
  return {
    type: 'callTable',
    call: { type: 'scan', prefix: HOST_INDEX_PREFIX, after, limit: 1 },
    purpose: { type: 'findDraftHosts' },
  };
}

// With the version as condition, a late delete does not remove an entry that was put again.
function deleteHostIndexEntry(host: string, id: string, version: string): Effect {
  const key = getHostIndexKey(host, id);
  const writes = [{ type: 'delete', key, condition: { type: 'version', version } } as const];
  return {
    type: 'callTable',
    call: { type: 'write', writes },
    purpose: { type: 'deleteDraftIndex' },
  };
}
