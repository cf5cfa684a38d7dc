import { DecayingCounter } from '../base/decayingCounter.ts';
import type { RequestKind } from '../requests/types.ts';
import { MAX_TRACKED_ADAPTERS, MISS_COSTS, EVICTION_POPULARITY_HALF_LIFE_MS } from './constants.ts';

/** Exponentially decayed demand by adapter, weighted by the miss cost of each request. */
export class Popularity {
  private readonly counters = new Map<string, DecayingCounter>();

  private constructor(private readonly halfLifeMs: number) {}

  static create(halfLifeMs = EVICTION_POPULARITY_HALF_LIFE_MS): Popularity {
    return new Popularity(halfLifeMs);
  }

  /** Counts a request. A miss costs a draft less than an urgent request, since drafts can wait. */
  recordRequest(model: string, kind: RequestKind, stallWeight: number, now: number): void {
    const known = this.counters.get(model);
    const counter = known ?? DecayingCounter.create(this.halfLifeMs, now);
    if (known === undefined) this.counters.set(model, counter);
    const { base, stall } = MISS_COSTS[kind];
    counter.add(now, base + stall * stallWeight);
    if (this.counters.size > MAX_TRACKED_ADAPTERS) this.prune(now);
  }

  /** Returns the weighted, decayed number of requests for `model`. */
  getValue(model: string, now: number): number {
    return this.counters.get(model)?.getValue(now) ?? 0;
  }

  /** Drops the half of the adapters with the lowest demand. */
  private prune(now: number): void {
    const values = [...this.counters].map(([model, counter]) => ({
      model,
      value: counter.getValue(now),
    }));
    values.sort((a, b) => a.value - b.value);
    for (const { model } of values.slice(0, values.length / 2)) this.counters.delete(model);
  }
}
