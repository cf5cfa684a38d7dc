/** Something that holds bytes of a request or a response. */
export interface BytesHolder {
  /** Whether it holds a complete response that is being written out; these give way last. */
  readonly isComplete: boolean;
  /** Whether a call uses the bytes, so that giving way frees nothing before it has ended. */
  readonly isRunning?: boolean;
  /** Gives up the bytes for lack of memory and ends what they belong to. */
  evict(): void;
}

/** Time without a change after which a holder counts as stalled, in ms. */
const STALLED_AFTER_MS = 1_000;

interface Holding {
  bytes: number;
  /** Monotonic ms at which the bytes last changed. */
  changedAt: number;
}

/** Limits the bytes that all requests and responses of a host hold together. */
export class MemoryBudget {
  private readonly holdings = new Map<BytesHolder, Holding>();
  private total = 0;

  private constructor(
    private readonly maxBytes: number,
    private readonly onEvicted: (bytes: number) => void,
  ) {}

  /** `onEvicted` is called with the bytes of each holder that gives way. */
  static create(
    maxBytes: number,
    onEvicted: (bytes: number) => void = () => undefined,
  ): MemoryBudget {
    return new MemoryBudget(maxBytes, onEvicted);
  }

  get totalBytes(): number {
    return this.total;
  }

  /**
   * Sets the bytes of a holder. While all together exceed the limit, evicts one, which may be this one: the
   * largest of those that have stalled, or else the largest. A body or a response without end grows until it is
   * the largest, and does not cost the small ones.
   */
  hold(holder: BytesHolder, bytes: number): void {
    const known = this.holdings.get(holder);
    this.total += bytes - (known?.bytes ?? 0);
    const holding = known ?? { bytes, changedAt: 0 };
    holding.bytes = bytes;
    holding.changedAt = performance.now();
    if (known === undefined) this.holdings.set(holder, holding);
    while (this.total > this.maxBytes) {
      const evicted = this.chooseEvicted();
      if (evicted === undefined) return;
      const [victim, { bytes: freed }] = evicted;
      this.release(victim);
      victim.evict();
      this.onEvicted(freed);
    }
  }

  release(holder: BytesHolder): void {
    this.total -= this.holdings.get(holder)?.bytes ?? 0;
    this.holdings.delete(holder);
  }

  private chooseEvicted(): [BytesHolder, Holding] | undefined {
    const known = [...this.holdings];
    const idle = known.filter(([{ isRunning }]) => isRunning !== true);
    const all = idle.length > 0 ? idle : known;
    const incomplete = all.filter(([{ isComplete }]) => !isComplete);
    const candidates = incomplete.length > 0 ? incomplete : all;
    const stalledBefore = performance.now() - STALLED_AFTER_MS;
    const stalled = candidates.filter(([, { changedAt }]) => changedAt <= stalledBefore);
    return findLargest(stalled) ?? findLargest(candidates);
  }
}

function findLargest(holdings: [BytesHolder, Holding][]): [BytesHolder, Holding] | undefined {
  return holdings.reduce<[BytesHolder, Holding] | undefined>(
    (largest, candidate) =>
      largest === undefined || candidate[1].bytes > largest[1].bytes ? candidate : largest,
    undefined,
  );
}
