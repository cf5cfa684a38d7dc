import { z } from 'zod';
import type { Effect } from '../core/effects.ts';
import type { ObjectAnswerHandlers, TableAnswerHandlers, TimerHandlers } from '../core/handlers.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { StoredRow } from '../core/store.ts';
import { schedule } from '../core/timers.ts';
import {
  acceptRevisions,
  acceptSnapshot,
  newSnapshotWrite,
  updateHasCaughtUp,
} from './acceptRevisions.ts';
import { HEAD_KEY, SNAPSHOT_INTERVAL_REVISIONS, SNAPSHOT_RETRY_MS } from './constants.ts';
import {
  requestPeerRevisions,
  getPollInterval,
  readMissingRevisions,
  newRevisionScan,
  newSnapshotRead,
  readHead,
} from './polling.ts';
import { Snapshot } from './snapshot.ts';
import { Revision } from './types.ts';

/** Row `configuration/head`. */
export const HeadRow = z.object({ revision: z.int().min(0) });

/** Timers of the replication of the configuration. */
export type ConfigurationTimer =
  | { type: 'pollConfiguration' }
  /** Retries the write of a snapshot. */
  | { type: 'writeSnapshot'; revision: number; body: string };

/** Starts polling the table service for new revisions. */
export function startConfigurationPolling(state: State, now: number): Effect[] {
  schedule(state, now, { type: 'pollConfiguration' });
  return [];
}

/** Handlers of `ConfigurationTimer`. */
export const configurationTimers: TimerHandlers<ConfigurationTimer['type']> = {
  pollConfiguration: (state, _timer, now) => {
    schedule(state, now + getPollInterval(state), { type: 'pollConfiguration' });
    return [...readHead(state, now), ...requestPeerRevisions(state, now)];
  },
  writeSnapshot: (state, { revision, body }) => {
    // Once the next snapshot is due, writing this one would save no reads.
    const isOutdated = state.configuration.revision >= revision + SNAPSHOT_INTERVAL_REVISIONS;
    return isOutdated ? [] : [newSnapshotWrite(revision, body)];
  },
};

/** Handlers of the answers of the table service. */
export const configurationTableHandlers: TableAnswerHandlers<'readHead' | 'readRevisions'> = {
  readHead: (state, _purpose, answer, { now }) => {
    const { configurationSync } = state;
    configurationSync.headReadSentAt = -Infinity;
    configurationSync.isTableUnavailable = answer.type !== 'ok' && answer.type !== 'missing';
    if (answer.type === 'missing') configurationSync.headRevision ??= 0;
    const row = answer.type === 'ok' ? answer.rows[0] : undefined;
    if (row !== undefined) {
      const head = HeadRow.safeParse(row.value);
      if (!head.success) return [newLog('error', `row ${HEAD_KEY} is malformed`)];
      configurationSync.headRevision = Math.max(
        configurationSync.headRevision ?? 0,
        head.data.revision,
      );
    }
    updateHasCaughtUp(state);
    return configurationSync.isTableUnavailable
      ? requestPeerRevisions(state, now)
      : readMissingRevisions(state, now);
  },
  readRevisions: (state, _purpose, answer, { now }) => {
    state.configurationSync.revisionReadSentAt = -Infinity;
    if (answer.type !== 'ok') return [];
    const before = state.configuration.revision;
    const parsed = answer.rows.map((row) => parseRevision(row));
    const revisions = parsed.flatMap((result) => (result.success ? [result.data] : []));
    const malformed = answer.rows
      .filter((_row, index) => parsed[index]?.success !== true)
      .map(({ key }) => newLog('error', `row ${key} is malformed`));
    const effects = acceptRevisions(state, revisions, { type: 'table' }, now);
    // Without progress the next poll retries, so that a malformed row causes no busy loop.
    const hasProgressed = state.configuration.revision > before;
    return [...malformed, ...effects, ...(hasProgressed ? readMissingRevisions(state, now) : [])];
  },
};

/** Handlers of the answers of the object store. */
export const configurationObjectHandlers: ObjectAnswerHandlers<'readSnapshot' | 'writeSnapshot'> = {
  readSnapshot: (state, { revision }, answer, now) => {
    const { configuration } = state;
    const snapshot = answer.type === 'ok' ? parseSnapshot(answer.body) : undefined;
    if (snapshot !== undefined) {
      return [...acceptSnapshot(state, snapshot, now), newRevisionScan(configuration.revision)];
    }
    // The newest snapshot is missing if its writer stopped; the one before it can be used instead.
    const earlier = revision - SNAPSHOT_INTERVAL_REVISIONS;
    const isUseful = answer.type === 'missing' && earlier > configuration.revision;
    return [isUseful ? newSnapshotRead(earlier) : newRevisionScan(configuration.revision)];
  },
  writeSnapshot: (state, { revision, body }, answer, now) => {
    if (answer.type === 'ok') return [];
    schedule(state, now + SNAPSHOT_RETRY_MS, { type: 'writeSnapshot', revision, body });
    return [newLog('warn', 'failed to write configuration snapshot; will retry', { revision })];
  },
};

function parseRevision(row: StoredRow) {
  return Revision.safeParse(row.value);
}

function parseSnapshot(body: string): Snapshot | undefined {
  try {
    return Snapshot.safeParse(JSON.parse(body)).data;
  } catch {
    return undefined;
  }
}
