import { z } from 'zod';
import type { Effect } from '../core/effects.ts';
import type { ObjectAnswerHandlers, TableAnswerHandlers, TimerHandlers } from '../core/handlers.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { StoredRow } from '../core/store.ts';
import { schedule } from '../core/timers.ts';
import { updateOwned } from '../grants/owned.ts';
import { applyRevision } from './apply.ts';
import { HEAD_KEY, HEAD_POLL_MS, REVISION_PREFIX, REVISION_SCAN_LIMIT } from './constants.ts';
import { getRevisionKey } from './keys.ts';
import { Revision } from './types.ts';

const Head = z.object({ revision: z.int().min(0) });

/** Starts polling the table service for new revisions. */
export function startConfiguration(state: State, now: number): Effect[] {
  schedule(state, now, { type: 'pollConfiguration' });
  return [];
}

export const configurationTimers: TimerHandlers<'pollConfiguration'> = {
  pollConfiguration: (state, _timer, now) => {
    schedule(state, now + HEAD_POLL_MS, { type: 'pollConfiguration' });
    return [
      { type: 'callTable', call: { type: 'get', key: HEAD_KEY }, purpose: { type: 'readHead' } },
    ];
  },
};

export const configurationTableHandlers: TableAnswerHandlers<'readHead' | 'readRevisions'> = {
  readHead: (state, _purpose, answer) => {
    const row = answer.type === 'ok' ? answer.rows[0] : undefined;
    if (row === undefined) return [];
    const head = Head.safeParse(row.value);
    if (!head.success) return [newLog('error', `row ${HEAD_KEY} is malformed`)];
    return head.data.revision > state.configuration.revision ? [newRevisionScan(state)] : [];
  },
  readRevisions: (state, _purpose, answer, { now }) => {
    if (answer.type !== 'ok') return [];
    const before = state.configuration.revision;
    const effects = answer.rows.flatMap((row) => applyRow(state, row));
    if (state.configuration.revision === before) return effects;
    return [...effects, ...updateOwned(state, now)];
  },
};

export const configurationObjectHandlers: ObjectAnswerHandlers<'readSnapshot'> = {
  readSnapshot: () => [],
};

function newRevisionScan(state: State): Effect {
  const after = state.configuration.revision;
  return {
    type: 'callTable',
    call: {
      type: 'scan',
      prefix: REVISION_PREFIX,
      after: getRevisionKey(after),
      limit: REVISION_SCAN_LIMIT,
    },
    purpose: { type: 'readRevisions', after },
  };
}

function applyRow(state: State, row: StoredRow): Effect[] {
  const revision = Revision.safeParse(row.value);
  if (!revision.success) return [newLog('error', `row ${row.key} is malformed`)];
  if (!applyRevision(state.configuration, revision.data)) return [];
  return [
    newLog('info', 'configuration is in force', { revision: revision.data.revision }),
    {
      type: 'gauge',
      metric: 'fireflywick_configuration_revision',
      labels: {},
      value: revision.data.revision,
    },
  ];
}
