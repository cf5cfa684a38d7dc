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
 * Sorts the asks of an engine: urgent ones, then by kind, where an aged draft counts as ordinary;
 * within a kind first those of firms below their guaranteed share, then by the callers' order and
 * age. A firm that lent its idle places so gets the next ones that become free.
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

/** Whether `ask` may run now; places and slots are kept back for urgent asks. */
export function canGrant(
  state: State,
  owned: OwnedEngine,
  engine: Engine,
  ask: QueuedGrantRequest,
): boolean {
  if (!owned.residents.has(ask.model)) return false;
  if (ask.kind === 'urgent') return owned.pins.size < engine.batch;
  const { stallWeight } = state.policy;
  const places = Math.ceil(engine.batch * URGENT_BATCH_RESERVE_SHARE * stallWeight);
  if (owned.pins.size >= Math.max(1, engine.batch - places)) return false;
  if (owned.pinsByModel.has(ask.model)) return true;
  // With every slot in use, an urgent request for another adapter could not be loaded.
  const slots = Math.ceil(engine.slots * URGENT_SLOT_RESERVE_SHARE * stallWeight);
  return owned.pinsByModel.size < Math.max(1, engine.slots - slots);
}

function getKindOrder({ kind, arrivedAt }: QueuedGrantRequest, now: number): number {
  if (kind === 'draft' && arrivedAt + DRAFT_PROMOTION_AGE_MS <= now) return KIND_ORDER.ordinary;
  return KIND_ORDER[kind];
}
