import { MAX_SMALL_PART_SENDERS, SMALL_PART_BYTES, SMALL_PARTS } from './constants.ts';

/**
 * Limits the bodies that arrive in very small parts at once. Each part costs processor time whatever its size, so
 * that a few such bodies keep a host busy.
 */
export class SmallPartLimit {
  private senders = 0;

  private constructor() {}

  static create(): SmallPartLimit {
    return new SmallPartLimit();
  }

  /** Returns a watch over the parts of one body. */
  watch(): { addPart: (bodyBytes: number) => boolean; end: () => void } {
    let parts = 0;
    let isCounted = false;
    return {
      /** Records a part of a body of which `bodyBytes` have arrived; returns false if there are too many such bodies. */
      addPart: (bodyBytes) => {
        parts += 1;
        if (isCounted || parts < SMALL_PARTS || bodyBytes >= parts * SMALL_PART_BYTES) return true;
        if (this.senders >= MAX_SMALL_PART_SENDERS) return false;
        isCounted = true;
        this.senders += 1;
        return true;
      },
      end: () => {
        if (isCounted) this.senders -= 1;
        isCounted = false;
      },
    };
  }
}
