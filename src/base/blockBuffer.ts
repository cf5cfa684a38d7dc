const FIRST_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 64 * 1_024;
/** Largest blocks that a pool keeps while they are not in use. */
const MAX_POOLED_BLOCKS = 64;

/**
 * Keeps blocks for reuse. Blocks that lived for some time are collected late, so that bodies which come and go would
 * take a multiple of what is held at once.
 */
export class BlockPool {
  private readonly blocks: Buffer[] = [];

  private constructor() {}

  static create(): BlockPool {
    return new BlockPool();
  }

  /** Returns a block of `bytes` with any content. */
  take(bytes: number): Buffer {
    const pooled = bytes === MAX_BLOCK_BYTES ? this.blocks.pop() : undefined;
    return pooled ?? Buffer.allocUnsafeSlow(bytes);
  }

  /** Takes back a block that nothing refers to any more. */
  release(block: Buffer): void {
    const isKept = block.length === MAX_BLOCK_BYTES && this.blocks.length < MAX_POOLED_BLOCKS;
    if (isKept) this.blocks.push(block);
  }
}

/**
 * Bytes of a body that arrive in parts. Copies each part into blocks, so that small parts need no more memory
 * than large ones, and nothing is copied again before all have arrived.
 */
export class BlockBuffer {
  private readonly blocks: Buffer[] = [];
  /** Bytes used of the last block. */
  private used = 0;
  private total = 0;
  private allocated = 0;

  private constructor(private readonly pool: BlockPool) {}

  static create(pool = BlockPool.create()): BlockBuffer {
    return new BlockBuffer(pool);
  }

  get length(): number {
    return this.total;
  }

  /** Memory that it takes, in bytes. */
  get capacity(): number {
    return this.allocated;
  }

  append(part: Uint8Array): void {
    for (let start = 0; start < part.length;) {
      const block = this.getBlock();
      const count = Math.min(part.length - start, block.length - this.used);
      block.set(part.subarray(start, start + count), this.used);
      this.used += count;
      this.total += count;
      start += count;
    }
  }

  /** Returns all bytes. */
  concat(): Buffer {
    const last = this.blocks.at(-1);
    if (last === undefined) return Buffer.alloc(0);
    return Buffer.concat([...this.blocks.slice(0, -1), last.subarray(0, this.used)], this.total);
  }

  /** Removes all bytes and releases their memory. */
  clear(): void {
    for (const block of this.blocks.splice(0)) this.pool.release(block);
    this.used = 0;
    this.total = 0;
    this.allocated = 0;
  }

  /** Returns the last block; adds one if it is full. Blocks grow with what has arrived. */
  private getBlock(): Buffer {
    const last = this.blocks.at(-1);
    if (last !== undefined && this.used < last.length) return last;
    const bytes = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this.allocated));
    const block = this.pool.take(bytes);
    this.blocks.push(block);
    this.used = 0;
    this.allocated += bytes;
    return block;
  }
}
