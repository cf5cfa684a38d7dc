import type { Socket } from 'node:net';

/** Number of held bytes in one direction from which reading from the sender pauses. */
const MAX_HELD_BYTES = 1_048_576;

interface HeldChunk {
  dueAt: number;
  /** Undefined for the end of the stream. */
  data: Uint8Array | undefined;
}

/** One direction of a proxied connection: forwards bytes after a delay, or holds them while blocked. */
export class ConnectionDirection {
  /** Holds all bytes until cleared; `forwardDue` then sends them. */
  isBlocked = false;
  delayMs = 0;
  private readonly heldChunks: HeldChunk[] = [];
  private heldBytes = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly from: Socket,
    private readonly to: Socket,
  ) {}

  /** Calls `shouldForward` for each received chunk and drops the chunk when it returns false. */
  static create(from: Socket, to: Socket, shouldForward: () => boolean): ConnectionDirection {
    const direction = new ConnectionDirection(from, to);
    from.on('data', (data) => {
      if (shouldForward()) direction.hold(typeof data === 'string' ? Buffer.from(data) : data);
    });
    from.on('end', () => direction.hold(undefined));
    to.on('drain', () => direction.forwardDue());
    return direction;
  }

  /** Forwards the chunks whose delay has passed. */
  forwardDue(): void {
    clearTimeout(this.timer);
    if (this.isBlocked) return;
    const now = performance.now();
    for (let chunk = this.heldChunks[0]; chunk !== undefined; chunk = this.heldChunks[0]) {
      if (chunk.dueAt > now) {
        this.timer = setTimeout(() => this.forwardDue(), Math.ceil(chunk.dueAt - now));
        return;
      }
      this.heldChunks.shift();
      if (chunk.data === undefined) {
        this.to.end();
        return;
      }
      this.heldBytes -= chunk.data.length;
      if (this.heldBytes < MAX_HELD_BYTES) this.from.resume();
      if (!this.to.write(chunk.data)) return;
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
