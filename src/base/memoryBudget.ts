/** Something that holds bytes of a request or a response. */
export interface BytesHolder {
  /** Whether it holds a complete response that is being written out; these give way last. */
  readonly isComplete: boolean;
  /** Gives up the bytes for lack of memory and ends what they belong to. */
  evict(): void;
}

/** Limits the bytes that all requests and responses of a host hold together. */
export class MemoryBudget {
  private readonly heldBytes = new Map<BytesHolder, number>();
  private total = 0;

  private constructor(private readonly maxBytes: number) {}

  static create(maxBytes: number): MemoryBudget {
    return new MemoryBudget(maxBytes);
  }

  get totalBytes(): number {
    return this.total;
  }

  /**
   * Sets the bytes of a holder. While all together exceed the limit, evicts the largest, which may be this
   * one: a response without end grows until it is the largest, and does not cost the small ones.
   */
  hold(holder: BytesHolder, bytes: number): void {
    this.total += bytes - (this.heldBytes.get(holder) ?? 0);
    this.heldBytes.set(holder, bytes);
    while (this.total > this.maxBytes) {
      const largest = this.findLargest();
      if (largest === undefined) return;
      this.release(largest);
      largest.evict();
    }
  }

  release(holder: BytesHolder): void {
    this.total -= this.heldBytes.get(holder) ?? 0;
    this.heldBytes.delete(holder);
  }

  private findLargest(): BytesHolder | undefined {
    const holders = [...this.heldBytes];
    const incomplete = holders.filter(([{ isComplete }]) => !isComplete);
    const candidates = incomplete.length > 0 ? incomplete : holders;
    return candidates.reduce<[BytesHolder | undefined, number]>(
      (largest, candidate) => (candidate[1] > largest[1] ? candidate : largest),
      [undefined, 0],
    )[0];
  }
}
