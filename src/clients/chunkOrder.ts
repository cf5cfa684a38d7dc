import { MAX_CHUNKS_AHEAD } from './constants.ts';

export const DONE_DATA = '[DONE]';

/** Puts the numbered chunks of a stream in order and drops those that came before. */
export class ChunkOrder {
  /** Number of the last chunk that was handed out. */
  position = 0;
  /** Whether the engine numbers its chunks; a stream without numbers cannot be resumed. */
  isNumbered = false;
  private readonly ahead = new Map<number, string>();

  private constructor() {}

  static create(): ChunkOrder {
    return new ChunkOrder();
  }

  /**
   * Takes a chunk and returns the chunks that are next in order, possibly none; undefined when
   * only some chunks of the stream have a number, so that the order is not known.
   */
  take(id: string | undefined, data: string): string[] | undefined {
    const number = Number(id ?? '');
    if (id === undefined || id === '' || !Number.isSafeInteger(number)) {
      // The end mark of an engine that does not number it counts only when no chunk is missing.
      if (data === DONE_DATA && this.ahead.size > 0) return [];
      if (this.isNumbered) return data === DONE_DATA ? [data] : undefined;
      this.position++;
      return [data];
    }
    if (!this.isNumbered && this.position > 0) return undefined;
    this.isNumbered = true;
    if (number > this.position && this.ahead.size < MAX_CHUNKS_AHEAD) this.ahead.set(number, data);
    const next: string[] = [];
    for (;;) {
      const chunk = this.ahead.get(this.position + 1);
      if (chunk === undefined) return next;
      this.ahead.delete(++this.position);
      next.push(chunk);
    }
  }
}
