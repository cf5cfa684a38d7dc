import { MAX_OUT_OF_ORDER_CHUNKS } from './constants.ts';

export const DONE_DATA = '[DONE]';

/** Puts the numbered chunks of a stream in order and drops those that came before. */
export class ChunkSequencer {
  /** Number of the last chunk that was handed out. */
  lastChunkNumber = 0;
  /** Whether the engine numbers its chunks; a stream without numbers cannot be resumed. */
  isNumbered = false;
  private readonly ahead = new Map<number, string>();

  private constructor() {}

  static create(): ChunkSequencer {
    return new ChunkSequencer();
  }

  /**
   * Takes a chunk and returns the chunks that are next in order, possibly none; undefined when
   * only some chunks of the stream have a number, so that the order is not known.
   */
  push(id: string | undefined, data: string): string[] | undefined {
    const number = Number(id ?? '');
    if (id === undefined || id === '' || !Number.isSafeInteger(number)) {
      // The end mark of an engine that does not number it counts only when no chunk is missing.
      if (data === DONE_DATA && this.ahead.size > 0) return [];
      if (this.isNumbered) return data === DONE_DATA ? [data] : undefined;
      this.lastChunkNumber++;
      return [data];
    }
    if (!this.isNumbered && this.lastChunkNumber > 0) return undefined;
    this.isNumbered = true;
    if (number > this.lastChunkNumber && this.ahead.size < MAX_OUT_OF_ORDER_CHUNKS)
      this.ahead.set(number, data);
    const next: string[] = [];
    for (;;) {
      const chunk = this.ahead.get(this.lastChunkNumber + 1);
      if (chunk === undefined) return next;
      this.ahead.delete(++this.lastChunkNumber);
      next.push(chunk);
    }
  }
}
