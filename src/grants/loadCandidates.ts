import {
  AGE_PER_RANK_MS,
  URGENT_LOAD_RANK,
  QUEUED_REQUEST_RANKS,
  WARM_LOAD_RANK,
} from './constants.ts';
import type { OwnedEngine, QueuedGrantRequest } from './types.ts';

/** A missing adapter that queued requests or a warm intent of one engine need. */
export interface LoadCandidate {
  model: string;
  /** Loads of higher rank go first; from `URGENT_LOAD_RANK` on, an urgent request is waiting. */
  rank: number;
  waitingRequests: number;
  /** Age of the oldest queued request in ms. */
  maxAgeMs: number;
}

/**
 * Returns the missing adapters that queued requests or warm intents of `owned` need, highest rank
 * first. The rank grows with the number, kind and age of the requests, so that no draft starves.
 */
export function getLoadCandidates(owned: OwnedEngine, now: number): LoadCandidate[] {
  const byModel = new Map<string, LoadCandidate>();
  for (const queued of owned.queue) {
    if (owned.residents.has(queued.model) || owned.loading.has(queued.model)) continue;
    if (owned.unloading.has(queued.model)) continue;
    const candidate = byModel.get(queued.model) ?? {
      model: queued.model,
      rank: 0,
      waitingRequests: 0,
      maxAgeMs: 0,
    };
    candidate.waitingRequests += 1;
    const ageMs = now - queued.arrivedAt;
    candidate.maxAgeMs = Math.max(candidate.maxAgeMs, ageMs);
    candidate.rank += getRequestRank(queued) + ageMs / AGE_PER_RANK_MS[queued.kind];
    byModel.set(queued.model, candidate);
  }
  for (const model of owned.warmModels) {
    if (owned.residents.has(model) || owned.loading.has(model)) continue;
    const candidate = byModel.get(model) ?? { model, rank: 0, waitingRequests: 0, maxAgeMs: 0 };
    candidate.rank += WARM_LOAD_RANK;
    byModel.set(model, candidate);
  }
  return [...byModel.values()].sort((a, b) => b.rank - a.rank || (a.model < b.model ? -1 : 1));
}

function getRequestRank({ kind }: QueuedGrantRequest): number {
  return kind === 'urgent' ? URGENT_LOAD_RANK : QUEUED_REQUEST_RANKS[kind];
}
