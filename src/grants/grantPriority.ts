import type { Engine } from '../configuration/types.ts';
import type { State } from '../core/state.ts';
import {
  DRAFT_PROMOTION_AGE_MS,
  URGENT_BATCH_RESERVE_SHARE,
  URGENT_SLOT_RESERVE_SHARE,
} from './constants.ts';
import type { OwnedEngine, QueuedGrantRequest } from './types.ts';

const KIND_ORDER = { urgent: 0, ordinary: 1, draft: 2 } as const;

/**
 * Sorts the queue of an engine by kind (urgent first, aged drafts as ordinary), then firms below
 * their guaranteed share first, then by caller priority and age. A firm thus gets the next free batch
 * entries if others have used its idle share.
 */
export function sortGrantQueue(
  state: State,
  owned: OwnedEngine,
  engine: Engine,
  now: number,
): void {
  const firms = new Map<string, number>();
  const getShareOrder = (firm: string): number => {
    const known = firms.get(firm);
    if (known !== undefined) return known;
    const guaranteed = (state.configuration.shares.get(firm) ?? 0) * engine.batch;
    const order = (owned.pinsByFirm.get(firm) ?? 0) < guaranteed ? 0 : 1;
    firms.set(firm, order);
    return order;
  };
  owned.queue.sort(
    (a, b) =>
      getKindOrder(a, now) - getKindOrder(b, now) ||
      getShareOrder(a.firm) - getShareOrder(b.firm) ||
      a.priority - b.priority ||
      a.arrivedAt - b.arrivedAt,
  );
}

/** Whether a request may run now; part of the batch and slots is reserved for urgent ones. */
export function canGrant(
  state: State,
  owned: OwnedEngine,
  engine: Engine,
  queued: QueuedGrantRequest,
): boolean {
  if (!owned.residents.has(queued.model)) return false;
  if (queued.kind === 'urgent') return owned.pins.size < engine.batch;
  const { stallWeight } = state.policy;
  const reservedBatch = Math.ceil(engine.batch * URGENT_BATCH_RESERVE_SHARE * stallWeight);
  if (owned.pins.size >= Math.max(1, engine.batch - reservedBatch)) return false;
  if (owned.pinsByModel.has(queued.model)) return true;
  // With every slot in use, an urgent request for another adapter could not be loaded.
  const reservedSlots = Math.ceil(engine.slots * URGENT_SLOT_RESERVE_SHARE * stallWeight);
  return owned.pinsByModel.size < Math.max(1, engine.slots - reservedSlots);
}

function getKindOrder({ kind, arrivedAt }: QueuedGrantRequest, now: number): number {
  if (kind === 'draft' && arrivedAt + DRAFT_PROMOTION_AGE_MS <= now) return KIND_ORDER.ordinary;
  return KIND_ORDER[kind];
}
