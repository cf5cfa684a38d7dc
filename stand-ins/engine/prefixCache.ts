import { hash32 } from '../../src/base/hash.ts';

/** Number of prompt characters in a block. */
export const BLOCK_CHARS = 64;

/** Event that a block was added to or removed from the prefix cache. */
export interface CacheEvent {
  /** Sequence number, from 1 at each start of the engine. */
  n: number;
  type: 'stored' | 'removed';
  block: number;
}

/** Returns the chained hashes of the complete blocks of `prompt`, seeded with `model`. */
export function getPromptBlocks(model: string, prompt: string): number[] {
  const blocks: number[] = [];
  let previous = hash32(model);
  for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
    previous = hash32(`${previous}/${prompt.slice(end - BLOCK_CHARS, end)}`);
    blocks.push(previous);
  }
  return blocks;
}

/** LRU prefix cache whose events are published with a delay and with gaps. */
export class PrefixCache {
  /** Cached blocks, least recently used first. */
  private readonly blocks = new Set<number>();
  private readonly events: { at: number; event: CacheEvent }[] = [];
  private lastEventNumber = 0;

  private constructor(
    private readonly options: {
      cacheBlocks: number;
      eventLagMs: number;
      /** Every event whose number is a multiple of this is lost; 0 loses none. */
      eventGapEvery: number;
    },
  ) {}

  static create(options: {
    cacheBlocks: number;
    eventLagMs: number;
    eventGapEvery: number;
  }): PrefixCache {
    return new PrefixCache(options);
  }

  /** Returns the length of the cached prefix of `blocks`. */
  getHitCount(blocks: number[]): number {
    const miss = blocks.findIndex((block) => !this.blocks.has(block));
    return miss === -1 ? blocks.length : miss;
  }

  /** Returns the blocks in `blocks` that are cached. */
  getCachedBlocks(blocks: number[]): number[] {
    return blocks.filter((block) => this.blocks.has(block));
  }

  store(blocks: number[]): void {
    for (const block of blocks) {
      if (!this.blocks.delete(block)) this.publishEvent('stored', block);
      this.blocks.add(block);
    }
    for (const block of this.blocks) {
      if (this.blocks.size <= this.options.cacheBlocks) break;
      this.blocks.delete(block);
      this.publishEvent('removed', block);
    }
  }

  /** Returns the published events with a number greater than `after`. */
  getEvents(after: number): CacheEvent[] {
    const latest = performance.now() - this.options.eventLagMs;
    return this.events
      .filter(({ at, event }) => at <= latest && event.n > after)
      .map(({ event }) => event);
  }

  private publishEvent(type: CacheEvent['type'], block: number): void {
    const n = ++this.lastEventNumber;
    const { eventGapEvery } = this.options;
    if (eventGapEvery > 0 && n % eventGapEvery === 0) return;
    this.events.push({ at: performance.now(), event: { n, type, block } });
    if (this.events.length > 10_000) this.events.splice(0, 5_000);
  }
}
