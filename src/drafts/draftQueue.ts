import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import {
  MAX_IN_FLIGHT_SHARE,
  MAX_ACTIVE_DRAFTS,
  RETRY_BASE_MS,
  RETRY_MAX_MS,
} from './constants.ts';
import { newDraftRead } from './draftRows.ts';
import type { OwnDraft } from './types.ts';

/** Pause before the next start when the host has too many requests in flight. */
const CAPACITY_CHECK_INTERVAL_MS = 200;
/** Pause of all starts after a row could not be read. */
const TABLE_FAILURE_PAUSE_MS = 1_000;

/** Queues a durable draft that this host runs. */
export function addOwnDraft(state: State, id: string): void {
  if (state.drafts.own.has(id)) return;
  state.drafts.own.set(id, {
    id,
    phase: 'queued',
    row: undefined,
    rowVersion: '',
    pendingRow: undefined,
    largeResult: undefined,
    requestId: '',
    tries: 0,
  });
  state.drafts.ready.add(id);
}

/** Removes a draft that ended, was deleted or is run by another host. */
export function removeOwnDraft(state: State, id: string, now: number): Effect[] {
  const { own, ready, active } = state.drafts;
  own.delete(id);
  ready.delete(id);
  active.delete(id);
  return startReadyDrafts(state, now);
}

/** Returns a draft to the queue after an exponential backoff with jitter. */
export function requeueDraft(state: State, draft: OwnDraft, now: number): Effect[] {
  const limit = Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** draft.tries);
  draft.tries += 1;
  draft.phase = 'queued';
  draft.row = undefined;
  draft.pendingRow = undefined;
  draft.largeResult = undefined;
  state.drafts.active.delete(draft.id);
  const at = now + limit * (0.5 + state.random.getFraction() / 2);
  schedule(state, at, { type: 'draftRetryDue', draft: draft.id });
  return startReadyDrafts(state, now);
}

/** Returns a draft to the queue and pauses all starts, which need the table service. */
export function pauseDraftStarts(state: State, draft: OwnDraft, now: number): Effect[] {
  const { active, ready } = state.drafts;
  draft.phase = 'queued';
  active.delete(draft.id);
  ready.add(draft.id);
  state.drafts.pausedUntil = now + TABLE_FAILURE_PAUSE_MS;
  schedule(state, state.drafts.pausedUntil, { type: 'startReadyDrafts' });
  return [];
}

/** Starts ready drafts, up to the limits of this host. */
export function startReadyDrafts(state: State, now: number): Effect[] {
  if (state.phase === 'draining' || state.phase === 'stopped') return [];
  if (now < state.drafts.pausedUntil) return [];
  const effects: Effect[] = [];
  for (const id of state.drafts.ready) {
    if (state.drafts.active.size >= MAX_ACTIVE_DRAFTS) break;
    if (!hasCapacity(state)) {
      schedule(state, now + CAPACITY_CHECK_INTERVAL_MS, { type: 'startReadyDrafts' });
      break;
    }
    state.drafts.ready.delete(id);
    const draft = state.drafts.own.get(id);
    if (draft?.phase !== 'queued') continue;
    draft.phase = 'reading';
    state.drafts.active.add(id);
    effects.push(newDraftRead(id, { type: 'readDraftToRun', draft: id }));
  }
  return effects;
}

/**
 * Whether drafts are being accepted or run, which the host waits for before it stops. Other hosts
 * take over the queued drafts.
 */
export function hasDraftsInFlight({ drafts }: State): boolean {
  return (
    drafts.active.size > 0 || drafts.openBatch !== undefined || drafts.committingBatches.size > 0
  );
}

function hasCapacity({ requests, policy }: State): boolean {
  return requests.inFlight.size < policy.maxRequests * MAX_IN_FLIGHT_SHARE;
}
