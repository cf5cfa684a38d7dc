import type { IncomingMessage } from 'node:http';
import {
  MAX_SMALL_PART_SENDERS,
  SMALL_PART_BYTES,
  SMALL_PART_PAUSE_MS,
  SMALL_PARTS,
} from './constants.ts';

/** A watch over the parts of one body. */
export interface PartWatch {
  /** Records a part of a body of which `bodyBytes` have arrived; returns false if there are too many such bodies. */
  addPart: (bodyBytes: number) => boolean;
  end: () => void;
}

/**
 * Limits the bodies that arrive in very small parts at once, and how fast they are read. Each part costs processor
 * time whatever its size, so that a few such bodies keep a host busy.
 */
export class SmallPartLimit {
  private senders = 0;

  private constructor() {}

  static create(): SmallPartLimit {
    return new SmallPartLimit();
  }

  watch({ socket }: IncomingMessage): PartWatch {
    let parts = 0;
    let isCounted = false;
    let timer: NodeJS.Timeout | undefined;
    const pause = (): void => {
      timer ??= setTimeout(() => {
        timer = undefined;
        socket.resume();
      }, SMALL_PART_PAUSE_MS);
      pauseAfterThisRead(() => socket.pause());
    };
    return {
      addPart: (bodyBytes) => {
        parts += 1;
        if (!isCounted) {
          if (parts < SMALL_PARTS || bodyBytes >= parts * SMALL_PART_BYTES) return true;
          if (this.senders >= MAX_SMALL_PART_SENDERS) {
            pauseAfterThisRead(() => socket.pause());
            return false;
          }
          isCounted = true;
          this.senders += 1;
        }
        if (timer === undefined) pause();
        return true;
      },
      end: () => {
        if (isCounted) this.senders -= 1;
        isCounted = false;
      },
    };
  }
}

/**
 * Calls `pause` when what was read at once has been handled. The stream of the body asks for more in the next tick,
 * which would undo an earlier pause.
 */
function pauseAfterThisRead(pause: () => void): void {
  process.nextTick(() => process.nextTick(pause));
}
