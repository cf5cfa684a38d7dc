import { AGE_PER_VALUE_MS, URGENT_RANK, WAITING_VALUES, WARM_RANK } from './constants.ts';
import type { OwnedEngine, QueuedAsk } from './types.ts';

/** An adapter that asks of one engine wait for. */
export interface WantedLoad {
  model: string;
  /** Loads of higher rank go first; from `URGENT_RANK` on an urgent request waits. */
  rank: number;
  waiting: number;
  /** Age of the oldest ask in ms. */
  ageMs: number;
}

/**
 * Returns the missing adapters that asks of `owned` wait for or intents want, most pressing first: urgent requests,
 * then by number of waiting requests and age. Age lets every draft come to its turn.
 */
export function getWantedLoads(owned: OwnedEngine, now: number): WantedLoad[] {
  const byModel = new Map<string, WantedLoad>();
  for (const ask of owned.queue) {
    if (owned.residents.has(ask.model) || owned.loading.has(ask.model)) continue;
    if (owned.unloading.has(ask.model)) continue;
    const wanted = byModel.get(ask.model) ?? { model: ask.model, rank: 0, waiting: 0, ageMs: 0 };
    wanted.waiting += 1;
    const ageMs = now - ask.arrivedAt;
    wanted.ageMs = Math.max(wanted.ageMs, ageMs);
    wanted.rank += getValue(ask) + ageMs / AGE_PER_VALUE_MS[ask.kind];
    byModel.set(ask.model, wanted);
  }
  for (const model of owned.warm) {
    if (owned.residents.has(model) || owned.loading.has(model)) continue;
    const wanted = byModel.get(model) ?? { model, rank: 0, waiting: 0, ageMs: 0 };
    wanted.rank += WARM_RANK;
    byModel.set(model, wanted);
  }
  return [...byModel.values()].sort((a, b) => b.rank - a.rank || (a.model < b.model ? -1 : 1));
}

function getValue({ kind }: QueuedAsk): number {
  return kind === 'urgent' ? URGENT_RANK : WAITING_VALUES[kind];
}
