import { MAX_OUT_OF_ORDER_CHUNKS } from './constants.ts';

/** Data of the event that marks the end of a stream. */
export const DONE_DATA = '[DONE]';

/** Puts the numbered chunks of a stream in order and drops duplicates. */
export class ChunkSequencer {
  /** Number of the last chunk that was returned; unnumbered chunks are counted. */
  lastChunkNumber = 0;
  /** Whether the engine numbers its chunks; an unnumbered stream cannot be resumed. */
  isNumbered = false;
  private readonly outOfOrder = new Map<number, string>();

  private constructor() {}

  static create(): ChunkSequencer {
    return new ChunkSequencer();
  }

  /**
   * Adds a chunk and returns the chunks that are next in order, possibly none. Returns undefined when
   * only some chunks of the stream are numbered, since their order is unknown.
   */
  push(id: string | undefined, data: string): string[] | undefined {
    const number = Number(id ?? '');
    if (id === undefined || id === '' || !Number.isSafeInteger(number)) {
      // An unnumbered end marker is accepted only when no chunk is missing.
      if (data === DONE_DATA && this.outOfOrder.size > 0) return [];
      if (this.isNumbered) return data === DONE_DATA ? [data] : undefined;
      this.lastChunkNumber++;
      return [data];
    }
    if (!this.isNumbered && this.lastChunkNumber > 0) return undefined;
    this.isNumbered = true;
    if (number > this.lastChunkNumber && this.outOfOrder.size < MAX_OUT_OF_ORDER_CHUNKS)
      this.outOfOrder.set(number, data);
    const next: string[] = [];
    for (;;) {
      const chunk = this.outOfOrder.get(this.lastChunkNumber + 1);
      if (chunk === undefined) return next;
      this.outOfOrder.delete(++this.lastChunkNumber);
      next.push(chunk);
    }
  }
}
