import type { Socket } from 'node:net';

/** Bytes held back in one direction above which the sender is paused. */
const MAX_HELD_BYTES = 1_048_576;

interface HeldChunk {
  dueAt: number;
  /** Undefined ends the stream. */
  data: Uint8Array | undefined;
}

/** Moves bytes from one socket to another, later or not at all. */
export class ConnectionDirection {
  /** Holds everything back until cleared. */
  isBlocked = false;
  delayMs = 0;
  private readonly heldChunks: HeldChunk[] = [];
  private heldBytes = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly from: Socket,
    private readonly to: Socket,
  ) {}

  /** `accepts` sees each part first; it returns false when the part must not be passed on. */
  static create(from: Socket, to: Socket, shouldForward: () => boolean): ConnectionDirection {
    const direction = new ConnectionDirection(from, to);
    from.on('data', (data) => {
      if (shouldForward()) direction.hold(typeof data === 'string' ? Buffer.from(data) : data);
    });
    from.on('end', () => direction.hold(undefined));
    to.on('drain', () => direction.forwardDue());
    return direction;
  }

  /** Passes on what is due. */
  forwardDue(): void {
    clearTimeout(this.timer);
    if (this.isBlocked) return;
    const now = performance.now();
    for (let part = this.heldChunks[0]; part !== undefined; part = this.heldChunks[0]) {
      if (part.dueAt > now) {
        this.timer = setTimeout(() => this.forwardDue(), Math.ceil(part.dueAt - now));
        return;
      }
      this.heldChunks.shift();
      if (part.data === undefined) {
        this.to.end();
        return;
      }
      this.heldBytes -= part.data.length;
      if (this.heldBytes < MAX_HELD_BYTES) this.from.resume();
      if (!this.to.write(part.data)) return;
    }
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private hold(data: Uint8Array | undefined): void {
    this.heldChunks.push({ dueAt: performance.now() + this.delayMs, data });
    this.heldBytes += data?.length ?? 0;
    if (this.heldBytes >= MAX_HELD_BYTES) this.from.pause();
    this.forwardDue();
  }
}
