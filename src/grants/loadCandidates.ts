import {
  AGE_PER_RANK_MS,
  URGENT_LOAD_RANK,
  QUEUED_REQUEST_RANKS,
  WARM_LOAD_RANK,
} from './constants.ts';
import type { OwnedEngine, QueuedGrantRequest } from './types.ts';

/** An adapter that asks of one engine wait for. */
export interface LoadCandidate {
  model: string;
  /** Loads of higher rank go first; from `URGENT_RANK` on an urgent request waits. */
  rank: number;
  waitingRequests: number;
  /** Age of the oldest ask in ms. */
  maxAgeMs: number;
}

/**
 * Returns the missing adapters that asks of `owned` wait for or intents want, most pressing first: urgent requests,
 * then by number of waiting requests and age. Age lets every draft come to its turn.
 */
export function getLoadCandidates(owned: OwnedEngine, now: number): LoadCandidate[] {
  const byModel = new Map<string, LoadCandidate>();
  for (const ask of owned.queue) {
    if (owned.residents.has(ask.model) || owned.loading.has(ask.model)) continue;
    if (owned.unloading.has(ask.model)) continue;
    const wanted = byModel.get(ask.model) ?? {
      model: ask.model,
      rank: 0,
      waitingRequests: 0,
      maxAgeMs: 0,
    };
    wanted.waitingRequests += 1;
    const ageMs = now - ask.arrivedAt;
    wanted.maxAgeMs = Math.max(wanted.maxAgeMs, ageMs);
    wanted.rank += getValue(ask) + ageMs / AGE_PER_RANK_MS[ask.kind];
    byModel.set(ask.model, wanted);
  }
  for (const model of owned.warmModels) {
    if (owned.residents.has(model) || owned.loading.has(model)) continue;
    const wanted = byModel.get(model) ?? { model, rank: 0, waitingRequests: 0, maxAgeMs: 0 };
    wanted.rank += WARM_LOAD_RANK;
    byModel.set(model, wanted);
  }
  return [...byModel.values()].sort((a, b) => b.rank - a.rank || (a.model < b.model ? -1 : 1));
}

function getValue({ kind }: QueuedGrantRequest): number {
  return kind === 'urgent' ? URGENT_LOAD_RANK : QUEUED_REQUEST_RANKS[kind];
}
